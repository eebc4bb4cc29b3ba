import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ladder_clients.table import Outcome, Row, TableClient
from ladder_core.errors import NotReadyError, StoreUnavailableError
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import Lists
from ladder_node.configuration import ConfigurationCache

MAX_STALENESS_SECONDS = 5
REFRESH_INTERVAL_SECONDS = 1


class FakeTable(TableClient):
    def __init__(self):
        self.revision = 0
        self.is_unavailable = False
        self.reads = []
        self.outcomes = {}

    async def read(self, table, key):
        self.reads.append(key)
        if self.is_unavailable:
            raise StoreUnavailableError('out', remedy='wait')
        row = Row(table, key, str(self.revision), self.revision)
        if key == 'lists':
            lists = Lists(revision=self.revision)
            body = msgspec.json.encode(lists).decode()
            row = Row(table, key, body, self.revision)
        return row if self.revision else None

    async def scan(self, table, prefix=''):
        return []

    async def commit(self, transaction):
        return Outcome(committed=False)

    async def read_outcome(self, token):
        return self.outcomes.get(token)


class ConfigurationHarness:
    def __init__(self):
        self.timers = ManualTimerService(start=100)
        self.table = FakeTable()
        self.timeline = Timeline('node', HybridClock(self.timers))
        self.cache = ConfigurationCache(
            self.table,
            self.timers,
            self.timeline,
        )

    @property
    def visible_revision(self):
        lists = self.cache.known_lists
        return lists.revision if lists else 0


async def test_node_without_any_revision_refuses():
    harness = ConfigurationHarness()
    await harness.cache.start()
    with pytest.raises(NotReadyError) as caught:
        harness.cache.require_fresh_lists()
    assert caught.value.retry_after
    await harness.cache.close()


async def test_unchanged_lists_are_not_read_again():
    harness = ConfigurationHarness()
    harness.table.revision = 1
    await harness.cache.start()
    await harness.timers.advance(10)
    assert harness.table.reads.count('lists') == 1
    assert harness.table.reads.count('revision') >= 10
    await harness.cache.close()


async def test_node_without_confirmation_refuses_after_the_staleness_limit():
    harness = ConfigurationHarness()
    harness.table.revision = 1
    await harness.cache.start()
    harness.table.is_unavailable = True
    await harness.timers.advance(MAX_STALENESS_SECONDS - 1)
    assert harness.cache.require_fresh_lists().revision == 1
    await harness.timers.advance(MAX_STALENESS_SECONDS)
    with pytest.raises(NotReadyError):
        harness.cache.require_fresh_lists()
    # Work that has already started may continue.
    assert harness.cache.require_known_lists().revision == 1
    harness.cache.confirm('peer', 1)
    assert harness.cache.require_fresh_lists().revision == 1
    await harness.cache.close()


async def test_peer_with_a_newer_revision_confirms_nothing():
    harness = ConfigurationHarness()
    harness.table.revision = 1
    await harness.cache.start()
    harness.table.is_unavailable = True
    await harness.timers.advance(MAX_STALENESS_SECONDS + 1)
    harness.cache.confirm('peer', 2)
    assert not harness.cache.is_fresh
    harness.cache.offer(Lists(revision=2))
    harness.cache.confirm('peer', 2)
    assert harness.cache.require_fresh_lists().revision == 2
    await harness.cache.close()


async def test_restarted_node_takes_the_newest_of_its_peers():
    harness = ConfigurationHarness()
    harness.table.is_unavailable = True
    await harness.cache.start()
    harness.cache.offer(Lists(revision=1))
    await harness.timers.advance(1)
    assert not harness.visible_revision
    harness.cache.offer(Lists(revision=2))
    await harness.timers.advance(3)
    assert harness.visible_revision == 2
    harness.cache.confirm('peer', 2)
    assert harness.cache.require_fresh_lists().revision == 2
    await harness.cache.close()


async def _act(harness, action):
    match action:
        case 'commit':
            harness.table.revision += 1
        case 'out' | 'in':
            harness.table.is_unavailable = action == 'out'
        case 'old-peer':
            harness.cache.offer(
                Lists(revision=max(1, harness.visible_revision - 1))
            )
        case 'new-peer' if harness.table.revision:
            harness.cache.offer(Lists(revision=harness.table.revision))
        case seconds if isinstance(seconds, int):
            await harness.timers.advance(seconds)


ACTIONS = st.one_of(
    st.sampled_from(['commit', 'out', 'in', 'old-peer', 'new-peer']),
    st.integers(1, 4),
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(ACTIONS, max_size=25))
async def test_revision_never_falls_and_no_old_one_is_served(actions):
    harness = ConfigurationHarness()
    committed: list[tuple[float, int]] = []
    await harness.cache.start()
    visible_revision = 0
    for action in actions:
        await _act(harness, action)
        if action == 'commit':
            committed.append((harness.timers.now(), harness.table.revision))
        assert harness.visible_revision >= visible_revision
        visible_revision = harness.visible_revision
        if harness.cache.is_ready:
            limit = (
                harness.timers.now()
                - MAX_STALENESS_SECONDS
                - REFRESH_INTERVAL_SECONDS
            )
            due = [one for at, one in committed if at < limit]
            assert visible_revision >= max(due, default=0)
    await harness.cache.close()
