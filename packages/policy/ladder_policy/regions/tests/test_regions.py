from ladder_policy.regions import AnyRegion, NearestRegion
from ladder_policy.routing import Candidate


def make(name, region, in_flight):
    return Candidate(name, region=region, batch_limit=2, in_flight=in_flight)


def narrow(*candidates):
    chosen = NearestRegion('near').narrow(candidates)
    return [one.name for one in chosen]


def test_near_room_is_taken_before_far_idleness():
    assert narrow(make('a', 'near', 1), make('b', 'far', 0)) == ['a']


def test_link_is_crossed_when_the_region_is_full():
    assert narrow(make('a', 'near', 2), make('b', 'far', 1)) == ['b']


def test_queue_near_by_is_taken_when_all_are_full():
    assert narrow(make('a', 'near', 3), make('b', 'far', 2)) == ['a']


def test_region_without_targets_uses_the_others():
    assert narrow(make('b', 'far', 5)) == ['b']


def test_plain_way_knows_no_region():
    candidates = [make('a', 'near', 1), make('b', 'far', 0)]
    assert AnyRegion().narrow(candidates) == candidates
