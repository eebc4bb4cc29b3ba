"""
Takeover of open batches by a new lease holder.

The tests guard against lost texts and slow takeovers. These occurred when the
holder was killed while the steps of three trainers were open, after the table
had been unavailable for some seconds.
"""

from dataclasses import replace

import pytest

from ladder_clients.table import (
    StoreOutcomeUnknownError,
    Transaction,
    Write,
)
from ladder_node.batches.drafts import load_drafts
from ladder_node.batches.intake import BatchIntake
from ladder_node.batches.records import (
    BATCHES_TABLE,
    DRAFTS_TABLE,
    TASKS_TABLE,
    find_shard,
)
from ladder_node.batches.session import OwnerSession
from ladder_node.batches.tests.fakes import (
    EVENT_SECONDS,
    FakeDeployment,
    make_batch,
    make_routes,
)
from ladder_node.routes import RouteCache
from ladder_standins.memory_table import MemoryTable

LONG_EVENTS = 150
OUTAGE_SECONDS = 6
SILENT_SECONDS = 2


class RecordingTable(MemoryTable):
    """
    Count the scans in flight, and record what was scanned.

    While `is_silent` is true, writes time out with an unknown outcome.
    """

    def __init__(self, timers):
        super().__init__(timers)
        self.in_flight = 0
        self.max_in_flight = 0
        self.scanned = []
        self.seconds: float = 0
        self.is_silent = False

    async def commit(self, transaction):
        if self.is_silent:
            await self.timers.sleep(SILENT_SECONDS)
            raise StoreOutcomeUnknownError('silent', remedy='read back')
        return await super().commit(transaction)

    async def scan_partition(
        self, table, part, prefix='', start='', limit=None
    ):
        self.scanned.append((table, prefix.rstrip('/')))
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            if self.seconds:
                await self.timers.sleep(self.seconds)
            return await super().scan_partition(
                table, part, prefix, start, limit
            )
        finally:
            self.in_flight -= 1


@pytest.fixture
async def deployment():
    made = FakeDeployment(nodes=('a', 'b'), table=RecordingTable)
    await made.start()
    yield made
    await made.close()


def find_owner(deployment):
    return next(
        name
        for name, node in deployment.nodes.items()
        if 'duty-begun' in node.list_kinds()
    )


async def kill_owner(deployment):
    """Kill the lease holder; return the other node once it has taken over."""
    owner = find_owner(deployment)
    await deployment.nodes[owner].kill()
    deployment.alive.remove(owner)
    other = deployment.nodes['b' if owner == 'a' else 'a']
    while 'duty-begun' not in other.list_kinds():
        await deployment.advance(0.1)
    return other


def make_long(deployment, *tasks):
    for node in deployment.nodes.values():
        for task in tasks:
            node.engines.lengths[task] = LONG_EVENTS


async def test_texts_are_saved_soon_after_an_outage(deployment):
    make_long(deployment, 'a-g0-0', 'b-g0-0')
    await deployment.submit(make_batch('a'))
    await deployment.advance(0.5)
    deployment.is_outage_shared = True
    deployment.table.is_silent = True
    await deployment.advance(OUTAGE_SECONDS)
    deployment.table.is_silent = False
    await deployment.advance(SILENT_SECONDS)
    await deployment.submit(make_batch('b'))
    await deployment.advance(2)
    saved = (await load_drafts(deployment.table, 'b'))['b-g0-0']
    assert len(saved.event_texts) * EVENT_SECONDS > 1


async def test_texts_with_a_result_are_not_read_again(deployment):
    make_long(deployment, 'b-g0-0')
    for node in deployment.nodes.values():
        node.engines.lengths['b-g0-1'] = 30
    await deployment.submit(make_batch())
    await deployment.advance(4)
    rows = await deployment.table.scan_partition(
        DRAFTS_TABLE, find_shard('b'), 'b/'
    )
    assert {row.key.split('/')[1] for row in rows} == {'b-g0-0'}


async def test_new_holder_resumes_a_long_text(deployment):
    make_long(deployment, 'b-g0-0')
    await deployment.submit(make_batch())
    await deployment.advance(3)
    other = await kill_owner(deployment)
    await deployment.advance(0.5)
    starts = [run[2] for run in other.engines.runs if run[1] == 'b-g0-0']
    assert starts[0] * EVENT_SECONDS > 2
    await deployment.advance(6)
    assert len(await deployment.read('b', node=other.name)) == 4


async def test_new_holder_does_not_read_batches_that_are_done(deployment):
    await deployment.submit(make_batch('done'))
    make_long(deployment, 'open-g0-0')
    await deployment.submit(make_batch('open'))
    await deployment.advance(2)
    await deployment.nodes['a'].batch_api.end('done')
    deployment.table.scanned.clear()
    await kill_owner(deployment)
    await deployment.advance(0.5)
    read = {
        batch for table, batch in deployment.table.scanned if table != 'members'
    }
    assert 'open' in read
    assert 'done' not in read


async def test_new_holder_reads_few_batches_at_once(deployment):
    for number in range(20):
        make_long(deployment, f'b{number}-g0-0')
        await deployment.submit(make_batch(f'b{number}', size=1))
    await deployment.advance(0.5)
    deployment.table.seconds = 0.05
    deployment.table.max_in_flight = 0
    await kill_owner(deployment)
    await deployment.advance(3)
    assert (TASKS_TABLE, 'b19') in deployment.table.scanned
    assert deployment.table.max_in_flight <= 16


async def test_node_without_a_configuration_does_not_take_the_duty():
    """
    Guards against a lease holder that stops planning for good.

    A node acquired the lease before it had read the configuration. Its
    planning ended with an error while the lease was kept, so the batches got no
    result until the node was closed.
    """
    deployment = FakeDeployment()
    node = deployment.nodes['a']
    node.routes = RouteCache(node.timeline)
    node.owner._dependencies = replace(
        node.owner._dependencies, routes=node.routes
    )
    await deployment.start()
    await deployment.advance(7)
    assert 'duty-begun' not in node.list_kinds()
    node.routes.offer(make_routes())
    await deployment.submit(make_batch())
    await deployment.advance(3)
    results = await deployment.read('b')
    await deployment.close()
    assert len(results) == 4


@pytest.mark.parametrize('task', ['_plan', '_save_drafts', '_clean', 'intake'])
async def test_duty_begins_again_after_an_unexpected_error(monkeypatch, task):
    """
    Guards against a lease that is kept without the work that it is for.

    An unexpected error ended the task that opens batches. The duty went on
    without it, and later batches were never opened (soak, seed 542).
    """
    deployment = FakeDeployment()
    errors = [RuntimeError('unexpected')]
    owner = BatchIntake if task == 'intake' else OwnerSession
    name = 'run' if task == 'intake' else task
    original = getattr(owner, name)

    async def fail_once(self, *arguments):
        if errors:
            raise errors.pop()
        await original(self, *arguments)

    monkeypatch.setattr(owner, name, fail_once)
    await deployment.start()
    await deployment.advance(2)
    await deployment.submit(make_batch())
    await deployment.advance(3)
    results = await deployment.read('b')
    await deployment.close()
    assert len(results) == 4
    kinds = deployment.nodes['a'].list_kinds()
    assert kinds.count('duty-begun') == 2


async def test_malformed_row_of_a_batch_stops_no_other_batch():
    """
    Guards against one row that ends the duty of every holder again and again.

    A row that could not be decoded ended the task that opens batches, and with
    it the duty.
    """
    deployment = FakeDeployment()
    row = Write(BATCHES_TABLE, 'broken', '{', find_shard('broken'))
    deployment.table.apply(Transaction('row', (), (row,)))
    await deployment.start()
    await deployment.submit(make_batch())
    # Longer than the interval of the cleaning.
    await deployment.advance(35)
    results = await deployment.read('b')
    await deployment.close()
    assert len(results) == 4
    assert deployment.nodes['a'].list_kinds().count('duty-begun') == 1
