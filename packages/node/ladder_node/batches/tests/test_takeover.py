"""
What a new holder of the duty finds, and how soon it goes on.

Pattern: the holder is killed while the steps of three trainers are open, after
the table was away for some seconds (grown ergasia, trouble-3).
"""

import pytest

from ladder_clients.table import StoreOutcomeUnknownError
from ladder_node.batches.drafts import load_drafts
from ladder_node.batches.records import DRAFTS_TABLE, TASKS_TABLE, find_shard
from ladder_node.batches.tests.fakes import EVENT_SECONDS, World, make_batch
from ladder_standins.memory_table import MemoryTable

LONG_EVENTS = 150
OUTAGE_SECONDS = 6
SILENT_SECONDS = 2


class WatchedTable(MemoryTable):
    """
    Count the reads that are on their way, and note what was read.

    While `is_silent` is true, writes are given up after a while.
    """

    def __init__(self, timers):
        super().__init__()
        self.timers = timers
        self.now = 0
        self.most = 0
        self.scanned = []
        self.seconds: float = 0
        self.is_silent = False

    async def commit(self, transaction):
        if self.is_silent:
            await self.timers.sleep(SILENT_SECONDS)
            raise StoreOutcomeUnknownError('silent', remedy='read back')
        return await super().commit(transaction)

    async def scan_part(self, table, part, prefix='', start='', limit=None):
        self.scanned.append((table, prefix.rstrip('/')))
        self.now += 1
        self.most = max(self.most, self.now)
        try:
            if self.seconds:
                await self.timers.sleep(self.seconds)
            return await super().scan_part(table, part, prefix, start, limit)
        finally:
            self.now -= 1


@pytest.fixture
async def world():
    made = World(nodes=('a', 'b'), table=WatchedTable)
    await made.start()
    yield made
    await made.close()


def find_owner(world):
    return next(
        name
        for name, node in world.nodes.items()
        if 'duty-begun' in node.list_kinds()
    )


async def kill_owner(world):
    """Kill the holder; return the other node once it holds the duty."""
    owner = find_owner(world)
    await world.nodes[owner].kill()
    world.alive.remove(owner)
    other = world.nodes['b' if owner == 'a' else 'a']
    while 'duty-begun' not in other.list_kinds():
        await world.advance(0.1)
    return other


def make_long(world, *tasks):
    for node in world.nodes.values():
        for task in tasks:
            node.engines.lengths[task] = LONG_EVENTS


async def test_texts_are_saved_soon_after_an_outage(world):
    make_long(world, 'a-g0-0', 'b-g0-0')
    await world.submit(make_batch('a'))
    await world.advance(0.5)
    world.is_outage_shared = True
    world.table.is_silent = True
    await world.advance(OUTAGE_SECONDS)
    world.table.is_silent = False
    await world.advance(SILENT_SECONDS)
    await world.submit(make_batch('b'))
    await world.advance(2)
    saved = (await load_drafts(world.table, 'b'))['b-g0-0']
    assert len(saved.parts) * EVENT_SECONDS > 1


async def test_texts_with_a_result_are_not_read_again(world):
    make_long(world, 'b-g0-0')
    for node in world.nodes.values():
        node.engines.lengths['b-g0-1'] = 30
    await world.submit(make_batch())
    await world.advance(4)
    rows = await world.table.scan_part(DRAFTS_TABLE, find_shard('b'), 'b/')
    assert {row.key.split('/')[1] for row in rows} == {'b-g0-0'}


async def test_new_holder_goes_on_with_a_long_text(world):
    make_long(world, 'b-g0-0')
    await world.submit(make_batch())
    await world.advance(3)
    other = await kill_owner(world)
    await world.advance(0.5)
    starts = [run[2] for run in other.engines.runs if run[1] == 'b-g0-0']
    assert starts[0] * EVENT_SECONDS > 2
    await world.advance(6)
    assert len(await world.read('b', node=other.name)) == 4


async def test_new_holder_does_not_read_batches_that_are_done(world):
    await world.submit(make_batch('done'))
    make_long(world, 'open-g0-0')
    await world.submit(make_batch('open'))
    await world.advance(2)
    await world.nodes['a'].batch_api.end('done')
    world.table.scanned.clear()
    await kill_owner(world)
    await world.advance(0.5)
    read = {batch for table, batch in world.table.scanned if table != 'members'}
    assert 'open' in read
    assert 'done' not in read


async def test_new_holder_reads_few_batches_at_once(world):
    for number in range(20):
        make_long(world, f'b{number}-g0-0')
        await world.submit(make_batch(f'b{number}', size=1))
    await world.advance(0.5)
    world.table.seconds = 0.05
    world.table.most = 0
    await kill_owner(world)
    await world.advance(3)
    assert (TASKS_TABLE, 'b19') in world.table.scanned
    assert world.table.most <= 16
