"""
Patterns of lost paths under which a duty moves, or stays.

Guards against a duty that stays for the whole of a cut at a host that does not
reach the targets, and against one that wanders from host to host.
"""

from ladder_policy.duties import DutyTenure


def observe(tenure, now, lost, fit_peer=True):
    tenure.observe(now, is_path_lost=lost, has_fit_peer=fit_peer)


def test_the_holder_is_cut_for_long_and_hands_over_within_a_second():
    tenure = DutyTenure()
    observe(tenure, 100, lost=True)
    assert tenure.should_hold(100.2)
    observe(tenure, 101, lost=True)
    assert not tenure.should_hold(101)


def test_the_path_comes_and_goes_and_the_duty_stays():
    tenure = DutyTenure()
    for tick in range(40):
        now = tick / 4
        observe(tenure, now, lost=tick % 2 == 0)
        assert tenure.should_hold(now + 0.2)


def test_a_host_whose_path_comes_and_goes_takes_no_duty():
    tenure = DutyTenure()
    for tick in range(1, 40):
        now = tick / 2
        observe(tenure, now, lost=tick % 2 == 1)
        assert not tenure.should_take(now + 0.4)


def test_all_hosts_are_cut_and_the_duty_stays_with_its_holder():
    tenure = DutyTenure()
    observe(tenure, 100, lost=True, fit_peer=False)
    observe(tenure, 130, lost=True, fit_peer=False)
    assert tenure.should_hold(130)


def test_the_only_host_left_takes_the_duty_although_it_is_cut():
    tenure = DutyTenure()
    observe(tenure, 100, lost=True, fit_peer=False)
    assert tenure.should_take(100)


def test_a_cut_host_takes_no_duty_while_another_one_can():
    tenure = DutyTenure()
    observe(tenure, 100, lost=True)
    assert not tenure.should_take(100)


def test_a_host_that_was_never_cut_takes_the_duty_at_once():
    tenure = DutyTenure()
    observe(tenure, 100, lost=False)
    assert tenure.should_take(100)
