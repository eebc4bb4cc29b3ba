import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ladder_clients.table import Outcome, Row, TableClient
from ladder_core.errors import NotReadyError, StoreUnavailableError
from ladder_core.timeline import HybridClock, TimeLine
from ladder_core.timers import ManualTimerService
from ladder_core.values import Lists
from ladder_node.configuration import ConfigurationCache

BOUND = 5
PERIOD = 1


class FakeTable(TableClient):
    def __init__(self):
        self.revision = 0
        self.is_out = False
        self.reads = []
        self.outcomes = {}

    async def read(self, table, key):
        self.reads.append(key)
        if self.is_out:
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
        self.timeline = TimeLine('node', HybridClock(self.timers))
        self.keeper = ConfigurationCache(
            self.table,
            self.timers,
            self.timeline,
        )

    @property
    def shown(self):
        lists = self.keeper.known_lists
        return lists.revision if lists else 0


async def test_node_without_any_revision_refuses():
    bench = Bench()
    await bench.keeper.start()
    with pytest.raises(NotReadyError) as caught:
        bench.keeper.require_fresh_lists()
    assert caught.value.retry_after
    await bench.keeper.close()


async def test_unchanged_lists_are_not_read_again():
    bench = Bench()
    bench.table.revision = 1
    await bench.keeper.start()
    await bench.timers.advance(10)
    assert bench.table.reads.count('lists') == 1
    assert bench.table.reads.count('revision') >= 10
    await bench.keeper.close()


async def test_node_that_hears_nothing_refuses_after_its_bound():
    bench = Bench()
    bench.table.revision = 1
    await bench.keeper.start()
    bench.table.is_out = True
    await bench.timers.advance(BOUND - 1)
    assert bench.keeper.require_fresh_lists().revision == 1
    await bench.timers.advance(BOUND)
    with pytest.raises(NotReadyError):
        bench.keeper.require_fresh_lists()
    # What has begun goes on.
    assert bench.keeper.require_known_lists().revision == 1
    bench.keeper.confirm('peer', 1)
    assert bench.keeper.require_fresh_lists().revision == 1
    await bench.keeper.close()


async def test_peer_with_a_newer_revision_confirms_nothing():
    bench = Bench()
    bench.table.revision = 1
    await bench.keeper.start()
    bench.table.is_out = True
    await bench.timers.advance(BOUND + 1)
    bench.keeper.confirm('peer', 2)
    assert not bench.keeper.is_fresh
    bench.keeper.offer(Lists(revision=2))
    bench.keeper.confirm('peer', 2)
    assert bench.keeper.require_fresh_lists().revision == 2
    await bench.keeper.close()


async def test_restarted_node_takes_the_newest_of_its_peers():
    bench = Bench()
    bench.table.is_out = True
    await bench.keeper.start()
    bench.keeper.offer(Lists(revision=1))
    await bench.timers.advance(1)
    assert not bench.shown
    bench.keeper.offer(Lists(revision=2))
    await bench.timers.advance(3)
    assert bench.shown == 2
    bench.keeper.confirm('peer', 2)
    assert bench.keeper.require_fresh_lists().revision == 2
    await bench.keeper.close()


async def _act(bench, action):
    match action:
        case 'commit':
            bench.table.revision += 1
        case 'out' | 'in':
            bench.table.is_out = action == 'out'
        case 'old-peer':
            bench.keeper.offer(Lists(revision=max(1, bench.shown - 1)))
        case 'new-peer' if bench.table.revision:
            bench.keeper.offer(Lists(revision=bench.table.revision))
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
    await bench.keeper.start()
    shown = 0
    for action in actions:
        await _act(bench, action)
        if action == 'commit':
            committed.append((bench.timers.now(), bench.table.revision))
        assert bench.shown >= shown
        shown = bench.shown
        if bench.keeper.is_ready:
            limit = bench.timers.now() - BOUND - PERIOD
            due = [one for at, one in committed if at < limit]
            assert shown >= max(due, default=0)
    await bench.keeper.close()
