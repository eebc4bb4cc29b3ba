"""Keys of organisations: unknown, new, revoked, and of an unknown age."""

import pytest

from ladder_core.errors import (
    NotReadyError,
    StoreUnavailableError,
    UnauthorizedError,
)
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import (
    CallerLimits,
    Organisation,
    OrganisationDirectory,
    RouteTable,
)
from ladder_node.organisations import Authenticator
from ladder_node.routes import RouteCache, RouteConfirmation, RouteSource

MAX_AGE = 3.5


class FakeSource(RouteSource):
    def __init__(self):
        self.table = None
        self.is_silent = False

    async def read(self):
        if self.is_silent:
            raise StoreUnavailableError('no answer', remedy='wait')
        return self.table


def make_table(revision, **keys):
    directory = OrganisationDirectory(
        (Organisation(name), held) for name, held in keys.items()
    )
    return RouteTable(revision, (), (), CallerLimits(), directory)


class Harness:
    def __init__(self):
        self.timers = ManualTimerService()
        self.timeline = Timeline('a', HybridClock(self.timers))
        self.routes = RouteCache(self.timeline)
        self.source = FakeSource()
        self.confirmation = RouteConfirmation(
            self.routes, self.source, self.timers, self.timeline
        )
        self.authenticator = Authenticator(
            self.confirmation, self.timers, self.timeline, MAX_AGE
        )
        self.offer(make_table(1, choir=['k1', 'k2'], band=['k3']))
        self.routes.confirm(self.timers.now())

    def offer(self, table):
        self.source.table = table
        self.routes.offer(table)

    async def find(self, key):
        found = await self.authenticator.authenticate(key, 'r1')
        return found.name


@pytest.fixture
async def harness():
    made = Harness()
    yield made
    await made.confirmation.close()


async def test_each_key_names_its_own_organisation(harness):
    assert await harness.find(b'k2') == 'choir'
    assert await harness.find(b'k3') == 'band'


@pytest.mark.parametrize('key', [None, b'', b'k', b'K1', b'k1 ', b'\xff'])
async def test_no_other_key_is_accepted(harness, key):
    with pytest.raises(UnauthorizedError):
        await harness.find(key)


async def test_key_newer_than_the_cache_is_accepted(harness):
    harness.source.table = make_table(2, choir=['k1'], band=['k3', 'new'])
    assert await harness.find(b'new') == 'band'


async def test_unknown_key_is_not_rejected_without_the_store(harness):
    """A key that all configurations hold must not get 401."""
    harness.source.is_silent = True
    with pytest.raises(StoreUnavailableError):
        await harness.find(b'new')


async def test_revoked_key_is_rejected(harness):
    harness.offer(make_table(2, choir=['k2'], band=['k3']))
    with pytest.raises(UnauthorizedError):
        await harness.find(b'k1')


async def test_key_of_unknown_validity_is_refused(harness):
    """A node that is cut off may have missed that a key was revoked."""
    harness.source.is_silent = True
    await harness.timers.advance(MAX_AGE + 0.1)
    with pytest.raises(NotReadyError):
        await harness.find(b'k1')


async def test_silent_feed_alone_stops_no_callers(harness):
    await harness.timers.advance(MAX_AGE / 2 + 0.1)
    assert await harness.find(b'k1') == 'choir'
    await harness.confirmation.confirm()
    await harness.timers.advance(MAX_AGE / 2 + 0.1)
    assert await harness.find(b'k1') == 'choir'


def test_read_that_ends_after_a_pause_confirms_its_start(harness):
    """A response that waited in a suspended host says nothing of later."""
    harness.routes.confirm(harness.timers.now() - 5)
    harness.routes.confirm(harness.timers.now() - 7)
    assert harness.routes.confirmed_at == harness.timers.now()


async def test_rejection_does_not_record_the_key(harness):
    with pytest.raises(UnauthorizedError) as caught:
        await harness.find(b'secret')
    events = harness.timeline.read(harness.timeline.clock.tick(), 0)
    assert 'secret' not in f'{caught.value} {events}'
