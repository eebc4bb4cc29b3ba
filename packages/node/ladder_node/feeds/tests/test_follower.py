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


class Bench:
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
async def bench():
    made = Bench()
    yield made
    await made.follower.close()


async def test_rows_are_read_and_then_followed(bench):
    await bench.put('a', '1')
    await bench.follower.start()
    await bench.timers.settle()
    assert bench.listener.rows == {'a': '1'}
    await bench.put('b', '2')
    await bench.put('a', None)
    assert bench.listener.rows == {'b': '2'}


async def test_lost_history_leads_to_a_full_read(bench):
    await bench.follower.start()
    await bench.timers.settle()
    bench.table.rows.drop_history()
    bench.table.faults = [TableFault.down]
    await bench.put('a', '1')
    await bench.timers.advance(1)
    assert bench.listener.rows == {'a': '1'}


async def test_loss_and_return_of_the_table_are_told_once(bench):
    await bench.follower.start()
    await bench.timers.settle()
    bench.table.default_fault = TableFault.down
    await bench.put('a', '1')
    await bench.timers.advance(5)
    assert bench.listener.rows == {}
    bench.table.default_fault = TableFault.none
    await bench.timers.advance(1)
    assert bench.listener.rows == {'a': '1'}
    assert bench.listener.outages[-1] >= 5
    kinds = bench.list_kinds()
    assert kinds.count('dependency-lost') == 1
    assert kinds.count('dependency-regained') == 1


async def test_age_tells_how_old_the_knowledge_is(bench):
    assert bench.follower.age is None
    await bench.follower.start()
    await bench.timers.settle()
    bench.table.default_fault = TableFault.down
    await bench.put('a', '1')
    await bench.timers.advance(3)
    assert bench.follower.age == pytest.approx(3)


async def test_error_of_a_listener_does_not_end_the_following(bench):
    def fail_once(rows, outage_seconds):
        del bench.listener.replace
        raise StoreUnavailableError('bad row', remedy='look at it')

    bench.listener.replace = fail_once
    await bench.put('a', '1')
    await bench.follower.start()
    await bench.timers.advance(1)
    assert bench.listener.rows == {'a': '1'}
