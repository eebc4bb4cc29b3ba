"""Bad lists of organisations, which must not replace a good one."""

import pytest

from ladder_core.values import (
    Organisation,
    OrganisationDirectory,
    Route,
    RouteKind,
    RouteTable,
)
from ladder_core.values.routes import CallerLimits

BAD_ENTRIES = {
    'two of one name': [('a', ['k']), ('a', ['l'])],
    'a key held by two': [('a', ['k']), ('b', ['l', 'k'])],
    'an empty key': [('a', [''])],
    'a huge key': [('a', ['k' * 5000])],
    'a key with a line feed': [('a', ['k\n'])],
    'a key with a space': [('a', ['k l'])],
    'a key beyond ASCII': [('a', ['kä'])],
    'an empty name': [('', ['k'])],
    'a name that ends its field': [('a\r\nTenant: b', ['k'])],
}


@pytest.mark.parametrize('entries', BAD_ENTRIES.values(), ids=BAD_ENTRIES)
def test_bad_entries_are_rejected_without_naming_a_key(entries):
    with pytest.raises(ValueError) as caught:
        OrganisationDirectory(
            (Organisation(name), keys) for name, keys in entries
        )
    assert 'kkk' not in str(caught.value)


@pytest.mark.parametrize('priority', [-1, 10])
def test_priority_is_bounded(priority):
    with pytest.raises(ValueError, match='priority'):
        OrganisationDirectory([(Organisation('a', priority), [])])


def test_organisation_may_hold_no_key_and_one_key_twice():
    directory = OrganisationDirectory(
        [(Organisation('a'), []), (Organisation('b'), ['k', 'k'])]
    )
    assert directory.find(b'k') == Organisation('b')
    assert directory.find(b'') is None


def test_priority_of_an_organisation_precedes_that_of_the_route():
    directory = OrganisationDirectory(
        [(Organisation('a', 0), []), (Organisation('b'), [])]
    )
    route = Route('r', 'h', '/', RouteKind.idempotent, (), priority=2)
    table = RouteTable(1, [route], (), CallerLimits(), directory)
    priorities = [table.find_priority(route, name) for name in ('a', 'b', '')]
    assert priorities == [0, 2, 2]
