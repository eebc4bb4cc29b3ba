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


class Bench:
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
    bench = Bench()
    await bench.cache.start()
    with pytest.raises(NotReadyError) as caught:
        bench.cache.require_fresh_lists()
    assert caught.value.retry_after
    await bench.cache.close()


async def test_unchanged_lists_are_not_read_again():
    bench = Bench()
    bench.table.revision = 1
    await bench.cache.start()
    await bench.timers.advance(10)
    assert bench.table.reads.count('lists') == 1
    assert bench.table.reads.count('revision') >= 10
    await bench.cache.close()


async def test_node_that_hears_nothing_refuses_after_its_bound():
    bench = Bench()
    bench.table.revision = 1
    await bench.cache.start()
    bench.table.is_unavailable = True
    await bench.timers.advance(MAX_STALENESS_SECONDS - 1)
    assert bench.cache.require_fresh_lists().revision == 1
    await bench.timers.advance(MAX_STALENESS_SECONDS)
    with pytest.raises(NotReadyError):
        bench.cache.require_fresh_lists()
    # Work that has already started may continue.
    assert bench.cache.require_known_lists().revision == 1
    bench.cache.confirm('peer', 1)
    assert bench.cache.require_fresh_lists().revision == 1
    await bench.cache.close()


async def test_peer_with_a_newer_revision_confirms_nothing():
    bench = Bench()
    bench.table.revision = 1
    await bench.cache.start()
    bench.table.is_unavailable = True
    await bench.timers.advance(MAX_STALENESS_SECONDS + 1)
    bench.cache.confirm('peer', 2)
    assert not bench.cache.is_fresh
    bench.cache.offer(Lists(revision=2))
    bench.cache.confirm('peer', 2)
    assert bench.cache.require_fresh_lists().revision == 2
    await bench.cache.close()


async def test_restarted_node_takes_the_newest_of_its_peers():
    bench = Bench()
    bench.table.is_unavailable = True
    await bench.cache.start()
    bench.cache.offer(Lists(revision=1))
    await bench.timers.advance(1)
    assert not bench.visible_revision
    bench.cache.offer(Lists(revision=2))
    await bench.timers.advance(3)
    assert bench.visible_revision == 2
    bench.cache.confirm('peer', 2)
    assert bench.cache.require_fresh_lists().revision == 2
    await bench.cache.close()


async def _act(bench, action):
    match action:
        case 'commit':
            bench.table.revision += 1
        case 'out' | 'in':
            bench.table.is_unavailable = action == 'out'
        case 'old-peer':
            bench.cache.offer(
                Lists(revision=max(1, bench.visible_revision - 1))
            )
        case 'new-peer' if bench.table.revision:
            bench.cache.offer(Lists(revision=bench.table.revision))
        case seconds if isinstance(seconds, int):
            await bench.timers.advance(seconds)


ACTIONS = st.one_of(
    st.sampled_from(['commit', 'out', 'in', 'old-peer', 'new-peer']),
    st.integers(1, 4),
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(ACTIONS, max_size=25))
async def test_revision_never_falls_and_no_old_one_is_served(actions):
    bench = Bench()
    committed: list[tuple[float, int]] = []
    await bench.cache.start()
    visible_revision = 0
    for action in actions:
        await _act(bench, action)
        if action == 'commit':
            committed.append((bench.timers.now(), bench.table.revision))
        assert bench.visible_revision >= visible_revision
        visible_revision = bench.visible_revision
        if bench.cache.is_ready:
            limit = (
                bench.timers.now()
                - MAX_STALENESS_SECONDS
                - REFRESH_INTERVAL_SECONDS
            )
            due = [one for at, one in committed if at < limit]
            assert visible_revision >= max(due, default=0)
    await bench.cache.close()
