import asyncio

import pytest

from ladder_clients.replicas import TextEvent
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.batches.drafts import DraftSaver, load_drafts
from ladder_node.batches.fence import Fence
from ladder_node.batches.open_batch import Stage, make_open_batch
from ladder_node.batches.records import BatchHead
from ladder_node.batches.result_writer import ResultWriter
from ladder_node.batches.store import BatchStore
from ladder_node.batches.tests.fakes import TERM, MemoryObjects, make_batch
from ladder_node.leases import LeaseHolder, LeaseManager
from ladder_standins.memory_table import MemoryTable, TableFault

HEAD = BatchHead(4, 1, 0, 'a', 7.5, 40)
TASK = 'b-g0-0'


class DraftHarness:
    def __init__(self):
        self.timers = ManualTimerService()
        self.table = MemoryTable(self.timers)
        self.timeline = Timeline('node', HybridClock(self.timers))

    async def hold(self, name):
        """Return the draft saver of a new holder, and its open batch."""
        manager = LeaseManager(
            self.table,
            LeaseHolder(name, name),
            self.timers,
            self.timeline,
            TERM,
        )
        lease = await manager.acquire('batches')
        while lease is None:
            await self.timers.advance(0.5)
            lease = await manager.acquire('batches')
        fence = Fence(
            self.table,
            lease,
            name,
            self.timers,
            bool,
        )
        await fence.fence_partitions()
        spec = make_batch()
        store = BatchStore(self.table, MemoryObjects(), name, self.timers)
        result_writer = ResultWriter(
            'b',
            store,
            self.table,
            fence,
            self.timers,
            lambda results: None,
        )
        batch = make_open_batch(spec, HEAD, result_writer, 0, 0)
        return DraftSaver(self.table, fence), batch

    async def load(self):
        return (await load_drafts(self.table, 'b')).get(TASK)


@pytest.fixture
def harness():
    return DraftHarness()


def generate(batch, run, count):
    draft = batch.tasks[TASK].draft
    for _ in range(count):
        number = len(draft.event_texts) + 1
        draft.append(TextEvent(number, f'{run}.{number}', 1), 'v1')


async def test_text_is_saved_in_pieces_and_joined(harness):
    saver, batch = await harness.hold('a')
    for _ in range(3):
        generate(batch, 'r', 5)
        await saver.save(batch)
    draft = await harness.load()
    assert draft.event_texts == [f'r.{number}' for number in range(1, 16)]
    assert draft.versions == [1 for _ in range(15)]


async def test_pieces_of_two_holders_are_never_joined(harness):
    """
    Guards against texts that mix the events of two runs.

    A new holder that restarted a text overwrote the first piece of the old
    run, and the later pieces of the old run were joined to it.
    """
    first, batch = await harness.hold('a')
    for _ in range(3):
        generate(batch, 'old', 5)
        await first.save(batch)
    second, batch = await harness.hold('b')
    generate(batch, 'new', 5)
    await second.save(batch)
    draft = await harness.load()
    assert len({part.split('.')[0] for part in draft.event_texts}) == 1


async def test_restarted_text_is_not_joined_to_the_old_one(harness):
    saver, batch = await harness.hold('a')
    for _ in range(2):
        generate(batch, 'old', 5)
        await saver.save(batch)
    batch.tasks[TASK].draft.clear()
    generate(batch, 'new', 5)
    await saver.save(batch)
    draft = await harness.load()
    assert len({part.split('.')[0] for part in draft.event_texts}) == 1


async def test_save_that_was_not_confirmed_is_made_again(harness):
    saver, batch = await harness.hold('a')
    generate(batch, 'r', 5)
    harness.table.faults = [TableFault.lost_answer]
    await saver.save(batch)
    generate(batch, 'r', 5)
    await saver.save(batch)
    draft = await harness.load()
    assert draft.event_texts == [f'r.{number}' for number in range(1, 11)]


async def test_text_stays_saved_until_its_result_is_durable(harness):
    """
    Guards against generating a text again after a takeover.

    This happens if the holder fails after the draft was removed and before
    the result is durable.
    """
    saver, batch = await harness.hold('a')
    generate(batch, 'r', 5)
    await saver.save(batch)
    task = batch.tasks[TASK]
    task.stage = Stage.done
    batch.result_writer.add(task.make_result('signature'))
    await saver.save(batch)
    assert len((await harness.load()).event_texts) == 5
    writing = asyncio.ensure_future(batch.result_writer.run())
    await asyncio.sleep(0)
    batch.result_writer.close()
    await writing
    await saver.save(batch)
    assert await harness.load() is None
