"""
Patterns of hosts that relay requests for others.

Guards against requests that are relayed to one host after the other of a data
centre that lost its paths as a whole, and to a few hosts only.
"""

from collections import Counter

from ladder_policy.routing import (
    RelayCandidate,
    is_verifier,
    order_relays,
)


def make_hosts(data_centre, distance, count, capacity=1):
    return [
        RelayCandidate(
            f'{data_centre}-{number}',
            f'{data_centre}:{number}',
            distance,
            data_centre,
            capacity,
        )
        for number in range(count)
    ]


def test_a_whole_data_centre_is_cut_and_the_second_relay_is_elsewhere():
    hosts = make_hosts('leith', 0, 3) + make_hosts('govan', 1, 3)
    ordered = order_relays('leith-9', hosts)
    assert [host.data_centre for host in ordered[:2]] == ['leith', 'govan']


def test_two_data_centres_of_a_region_are_cut_and_the_third_relay_is_far():
    hosts = (
        make_hosts('leith', 0, 3)
        + make_hosts('govan', 1, 3)
        + make_hosts('inverness', 2, 3)
    )
    places = [host.data_centre for host in order_relays('leith-9', hosts)[:3]]
    assert places == ['leith', 'govan', 'inverness']


def test_hosts_that_failed_come_last():
    failed = RelayCandidate('leith-1', '', 0, 'leith', 1, has_failed=True)
    far = RelayCandidate('inverness-1', '', 2, 'inverness')
    assert order_relays('leith-9', [failed, far]) == [far, failed]


def test_hosts_that_are_known_to_reach_the_service_come_first():
    """Guards against requests that wait at hosts that are cut, too."""
    near = make_hosts('leith', 0, 6)
    proved = RelayCandidate('inverness-1', '', 2, 'inverness', has_proved=True)
    assert order_relays('leith-9', [*near, proved])[0] == proved


def test_two_thirds_of_the_hosts_are_cut_and_the_rest_share_by_capacity():
    left = make_hosts('leith', 0, 10) + make_hosts('govan', 0, 10, 4)
    first = Counter(
        next(
            relay.name
            for relay in order_relays(f'cut-{number}', left)
            if relay.data_centre == 'govan'
        )
        for number in range(400)
    )
    assert len(first) == 10
    assert max(first.values()) < 3 * 400 / 10


def test_hundreds_of_quiet_hosts_check_their_paths_with_few_connections():
    """Guards against a connection of each host of a fleet for one cut."""
    hosts = [f'host-{number}' for number in range(195)]
    verifiers = [host for host in hosts if is_verifier(host, 'app', hosts)]
    assert 0 < len(verifiers) <= 10


def test_all_quiet_hosts_of_a_small_fleet_check_their_paths():
    hosts = [f'host-{number}' for number in range(9)]
    assert all(is_verifier(host, 'app', hosts) for host in hosts)


def test_a_host_chooses_the_same_relay_each_time():
    hosts = make_hosts('leith', 0, 9)
    assert order_relays('a', hosts) == order_relays('a', list(reversed(hosts)))
