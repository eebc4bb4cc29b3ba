from ladder_policy.regions import AnyRegion, NearestRegion
from ladder_policy.routing import Candidate


def make(name, region, in_flight):
    return Candidate(name, region=region, batch_limit=2, in_flight=in_flight)


def narrow(*candidates):
    chosen = NearestRegion('near').narrow(candidates)
    return [one.name for one in chosen]


def test_free_slot_in_the_region_goes_before_an_idle_target_elsewhere():
    assert narrow(make('a', 'near', 1), make('b', 'far', 0)) == ['a']


def test_link_is_crossed_when_the_region_is_full():
    assert narrow(make('a', 'near', 2), make('b', 'far', 1)) == ['b']


def test_own_region_is_used_when_all_are_full():
    assert narrow(make('a', 'near', 3), make('b', 'far', 2)) == ['a']


def test_region_without_targets_uses_the_others():
    assert narrow(make('b', 'far', 5)) == ['b']


def test_any_region_uses_all_targets():
    candidates = [make('a', 'near', 1), make('b', 'far', 0)]
    assert AnyRegion().narrow(candidates) == candidates
