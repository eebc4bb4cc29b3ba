"""
Patterns of replicas that a host can't reach, and whether it lost its path.

Guards against a host that takes the loss of its own path for failures of the
replicas, and against one that takes failed replicas for the loss of its path.
"""

from ladder_policy.routing import ServicePath

REPLICAS = 3


def make_path(addresses, at):
    path = ServicePath()
    for address in addresses:
        path.record_unreachable(address, at)
    return path


def test_one_replica_that_failed_starts_no_comparison():
    path = make_path(['a'], at=1)
    assert not path.needs_comparison(1, REPLICAS)


def test_the_only_replica_of_a_service_is_compared():
    path = make_path(['a'], at=1)
    assert path.needs_comparison(1, replicas=1)


def test_two_failures_long_apart_start_no_comparison():
    path = make_path(['a'], at=1)
    path.record_unreachable('b', 60)
    assert not path.needs_comparison(60, REPLICAS)


def test_replicas_that_others_reach_mean_a_lost_path():
    path = make_path(['a', 'b'], at=1)
    assert path.needs_comparison(1, REPLICAS)
    path.record_comparison(1.1, is_reached_elsewhere=True)
    assert path.is_lost


def test_a_service_that_is_down_for_all_hosts_is_no_lost_path():
    path = make_path(['a', 'b', 'c'], at=1)
    path.record_comparison(1.1, is_reached_elsewhere=False)
    assert not path.is_lost


def test_a_service_that_stays_down_is_compared_ever_less_often():
    path = make_path(['a', 'b'], at=0)
    comparisons = []
    for tick in range(200):
        now = tick / 10
        path.record_unreachable('a', now)
        path.record_unreachable('b', now)
        if path.needs_comparison(now, REPLICAS):
            path.record_comparison(now, is_reached_elsewhere=False)
            comparisons.append(now)
    assert len(comparisons) < 14
    assert comparisons[-1] > 16


def test_a_connection_that_is_made_meanwhile_goes_before_a_comparison():
    path = make_path(['a', 'b'], at=1)
    path.record_connected()
    path.record_comparison(1.2, is_reached_elsewhere=True)
    assert not path.is_lost


def test_a_path_that_refuses_is_not_silent_after_an_older_time_out():
    """Guards against kept connections that are given up though they live."""
    path = ServicePath()
    path.record_unreachable('dark', 1, is_silent=True)
    path.record_unreachable('a', 2)
    path.record_unreachable('b', 2)
    assert not path.is_silent


def test_a_path_that_gives_no_answer_is_silent_after_an_older_refusal():
    path = ServicePath()
    path.record_unreachable('crashed', 1)
    path.record_unreachable('a', 2, is_silent=True)
    assert path.is_silent


def test_a_path_that_comes_and_goes_is_noticed_each_time():
    path = ServicePath()
    for start in (1, 2, 3, 4):
        path.record_unreachable('a', start)
        path.record_unreachable('b', start)
        assert path.needs_comparison(start + 0.3, REPLICAS)
        path.record_comparison(start + 0.3, is_reached_elsewhere=True)
        assert path.is_lost
        path.record_connected()
        assert not path.is_lost
