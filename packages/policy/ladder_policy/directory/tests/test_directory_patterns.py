"""
Patterns of hosts without paths, and where callers are directed.

Guards against callers who are sent to hosts that reach no replica, and against
a few hosts that get the callers of all.
"""

from ladder_policy.directory import HostView, prefer_reaching


def make_hosts(cut, sound, capacity=1):
    return [
        *(
            HostView(f'cut-{number}', capacity, reaches_all=False)
            for number in range(cut)
        ),
        *(HostView(f'sound-{number}', 1) for number in range(sound)),
    ]


def test_two_thirds_of_the_hosts_are_cut_and_the_others_get_all_callers():
    chosen = prefer_reaching(make_hosts(cut=6, sound=3))
    assert chosen == {'sound-0', 'sound-1', 'sound-2'}


def test_most_hosts_are_cut_and_all_go_on_to_serve():
    assert len(prefer_reaching(make_hosts(cut=9, sound=1))) == 10


def test_the_hosts_left_are_small_and_all_go_on_to_serve():
    assert len(prefer_reaching(make_hosts(cut=3, sound=3, capacity=4))) == 6


def test_all_hosts_look_cut_and_none_is_left_out():
    assert len(prefer_reaching(make_hosts(cut=9, sound=0))) == 9


def test_no_host_is_cut_and_none_is_left_out():
    assert len(prefer_reaching(make_hosts(cut=0, sound=9))) == 9
