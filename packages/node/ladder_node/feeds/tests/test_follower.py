import pytest

from ladder_clients.table import Transaction, Write
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.feeds import FeedListener, TableFollower
from ladder_standins.memory_table import MemoryTable, TableFault

TABLE = 'replicas'


class Listener(FeedListener):
    def __init__(self):
        self.rows = {}
        self.outages = []

    def replace(self, rows, outage_seconds):
        self.rows = {row.key: row.body for row in rows}
        self.outages.append(outage_seconds)

    def change(self, rows, removed):
        self.rows.update({row.key: row.body for row in rows})
        for row in removed:
            del self.rows[row.key]


class FollowerHarness:
    def __init__(self):
        self.timers = ManualTimerService(start=100)
        self.table = MemoryTable()
        self.listener = Listener()
        self.timeline = Timeline('node', HybridClock(self.timers))
        self.follower = TableFollower(
            self.table,
            TABLE,
            self.listener,
            self.timers,
            self.timeline,
        )
        self.writes = 0

    async def put(self, key, body):
        self.writes += 1
        write = Write(TABLE, key, body)
        self.table.apply(Transaction(str(self.writes), (), (write,)))
        await self.timers.settle()

    def list_kinds(self):
        return [one.kind for one in self.timeline.read(HybridTime(), 99)]


@pytest.fixture
async def harness():
    made = FollowerHarness()
    yield made
    await made.follower.close()


async def test_rows_are_read_and_then_followed(harness):
    await harness.put('a', '1')
    await harness.follower.start()
    await harness.timers.settle()
    assert harness.listener.rows == {'a': '1'}
    await harness.put('b', '2')
    await harness.put('a', None)
    assert harness.listener.rows == {'b': '2'}


async def test_lost_history_leads_to_a_full_read(harness):
    await harness.follower.start()
    await harness.timers.settle()
    harness.table.rows.drop_history()
    harness.table.faults = [TableFault.down]
    await harness.put('a', '1')
    await harness.timers.advance(1)
    assert harness.listener.rows == {'a': '1'}


async def test_loss_and_return_of_the_table_are_recorded_once(harness):
    await harness.follower.start()
    await harness.timers.settle()
    harness.table.default_fault = TableFault.down
    await harness.put('a', '1')
    await harness.timers.advance(5)
    assert harness.listener.rows == {}
    harness.table.default_fault = TableFault.none
    await harness.timers.advance(1)
    assert harness.listener.rows == {'a': '1'}
    assert harness.listener.outages[-1] >= 5
    kinds = harness.list_kinds()
    assert kinds.count('dependency-lost') == 1
    assert kinds.count('dependency-regained') == 1


async def test_age_is_the_time_since_the_rows_were_confirmed(harness):
    assert harness.follower.age is None
    await harness.follower.start()
    await harness.timers.settle()
    harness.table.default_fault = TableFault.down
    await harness.put('a', '1')
    await harness.timers.advance(3)
    assert harness.follower.age == pytest.approx(3)


async def test_error_of_a_listener_does_not_end_the_following(harness):
    def fail_once(rows, outage_seconds):
        del harness.listener.replace
        raise StoreUnavailableError('bad row', remedy='look at it')

    harness.listener.replace = fail_once
    await harness.put('a', '1')
    await harness.follower.start()
    await harness.timers.advance(1)
    assert harness.listener.rows == {'a': '1'}
