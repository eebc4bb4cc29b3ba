import asyncio
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ladder_clients.services import ServiceRequest, ServiceResponse
from ladder_core.errors import (
    AnswerNotKeptError,
    InProgressError,
    KeyReusedError,
    LadderError,
    MayHaveRunError,
    NotRunError,
    StoreUnavailableError,
    TargetLostError,
    TargetUnavailableError,
)
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind
from ladder_node.dispatch import (
    IdempotentDispatcher,
    IntentCleaner,
    IntentKey,
    IntentLog,
    IntentWriter,
    ServiceDispatcher,
)
from ladder_node.dispatch.intent_cleaner import INTENT_LIFETIME_SECONDS
from ladder_node.targets import TargetTable
from ladder_standins.memory_table import MemoryTable, TableFault

KEY = IntentKey('claims', 'taproom', 'claim-7')
CLAIM = ServiceRequest('r', 'POST', '/claims', b'7')
REMEDY = 'none'
REFUSALS = ['refuse', 'refuse', 'refuse', 'refuse']


@dataclass
class FakeService:
    """Executes calls in process and records which ones ran."""

    executed: list[ServiceRequest] = field(default_factory=list)
    results: list[str] = field(default_factory=list)
    body: bytes = b'claimed'

    async def call(self, address, request):
        await asyncio.sleep(0)
        outcome = self.results.pop(0) if self.results else 'answer'
        if outcome == 'refuse':
            raise TargetUnavailableError('refused', remedy=REMEDY)
        self.executed.append(request)
        await asyncio.sleep(0)
        if outcome == 'lose':
            raise TargetLostError('lost', remedy=REMEDY)
        return ServiceResponse(200, self.body, 'text/plain')


class Node:
    """Dispatches calls with a key on one node; table and service are shared."""

    def __init__(self, table, service, timers):
        timeline = Timeline('node', HybridClock(timers))
        targets = TargetTable(timers, timeline)
        targets.update_hosts(
            HostEntry(f's-{index}', HostKind.service, 'a:1', 'dc', 'r')
            for index in range(8)
        )
        self.writer = IntentWriter(table, timers)
        self.dispatcher = IdempotentDispatcher(
            ServiceDispatcher(targets, service),
            IntentLog(table, self.writer, timers),
            timeline,
        )

    async def call(self, request=CLAIM):
        return await self.dispatcher.call(
            IntentKey(KEY.plan, '', KEY.key),
            request,
        )


@pytest.fixture
def timers():
    return ManualTimerService()


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def service():
    return FakeService()


@pytest.fixture
def nodes(table, service, timers):
    return [Node(table, service, timers) for _ in range(2)]


async def test_repeated_key_gets_the_stored_answer_at_another_node(
    nodes,
    service,
):
    first = await nodes[0].call()
    await nodes[0].writer.flush()
    assert await nodes[1].call() == first
    assert len(service.executed) == 1


async def test_repeated_key_gets_the_answer_before_it_is_written(
    nodes,
    service,
):
    first = await nodes[0].call()
    assert await nodes[0].call() == first
    assert len(service.executed) == 1


async def test_same_key_at_two_nodes_at_once_runs_once(nodes, service):
    outcomes = await asyncio.gather(
        nodes[0].call(),
        nodes[1].call(),
        return_exceptions=True,
    )
    assert sum(isinstance(one, InProgressError) for one in outcomes) == 1
    assert len(service.executed) == 1


async def test_same_key_with_another_body_is_refused(nodes, service):
    await nodes[0].call()
    await nodes[0].writer.flush()
    with pytest.raises(KeyReusedError):
        await nodes[1].call(ServiceRequest('r', 'POST', '/claims', b'8'))
    assert len(service.executed) == 1


async def test_lost_answer_of_the_insert_is_read_back(nodes, table, service):
    table.faults = [TableFault.lost_answer]
    assert (await nodes[0].call()).body == b'claimed'
    assert len(service.executed) == 1


async def test_store_down_is_a_true_refusal_with_when_to_come_back(
    nodes,
    table,
    service,
):
    table.default_fault = TableFault.down
    with pytest.raises(StoreUnavailableError) as caught:
        await nodes[0].call()
    assert caught.value.retry_after
    assert not service.executed


async def test_undecided_insert_is_released_when_the_store_is_back(
    nodes,
    table,
    service,
):
    table.faults = [TableFault.late_request, TableFault.down]
    with pytest.raises(StoreUnavailableError):
        await nodes[0].call()
    table.apply(table.late_transactions.pop())
    with pytest.raises(InProgressError):
        await nodes[1].call()
    await nodes[0].writer.flush()
    assert (await nodes[1].call()).body == b'claimed'
    assert len(service.executed) == 1


async def test_call_that_did_not_run_can_be_retried(nodes, service):
    service.results = REFUSALS.copy()
    with pytest.raises(TargetUnavailableError):
        await nodes[0].call()
    assert (await nodes[1].call()).body == b'claimed'


async def test_late_release_does_not_undo_the_attempt_that_took_over(
    nodes,
    table,
    service,
):
    service.results = REFUSALS.copy()
    late = TableFault.late_request
    table.faults = [TableFault.none, TableFault.none, late]
    with pytest.raises(TargetUnavailableError):
        await nodes[0].call()
    await nodes[0].writer.flush()
    service.results = ['lose']
    with pytest.raises(MayHaveRunError):
        await nodes[1].call()
    await nodes[1].writer.flush()
    table.apply(table.late_transactions.pop())
    with pytest.raises(MayHaveRunError):
        await nodes[0].call()
    assert len(service.executed) == 1


async def test_lost_call_stays_undecided_for_its_key(nodes, service):
    service.results = ['lose']
    with pytest.raises(MayHaveRunError):
        await nodes[0].call()
    await nodes[0].writer.flush()
    with pytest.raises(MayHaveRunError):
        await nodes[1].call()
    assert len(service.executed) == 1


async def test_node_killed_between_row_and_dispatch_leaves_it_undecided(
    nodes,
    service,
):
    calling = asyncio.create_task(nodes[0].call())
    await asyncio.sleep(0)
    calling.cancel()
    with pytest.raises(asyncio.CancelledError):
        await calling
    with pytest.raises(InProgressError):
        await nodes[1].call()
    assert not service.executed


async def test_long_answer_is_not_kept_but_known_to_have_run(nodes, service):
    service.body = bytes(100_000)
    await nodes[0].call()
    await nodes[0].writer.flush()
    with pytest.raises(AnswerNotKeptError):
        await nodes[1].call()


async def test_expired_rows_are_cleaned(nodes, table, timers, service):
    await nodes[0].call()
    await nodes[0].writer.flush()
    cleaner = IntentCleaner(table, timers, 'node')
    await timers.advance(INTENT_LIFETIME_SECONDS / 2)
    assert await cleaner.clean('') == 1
    assert (await nodes[1].call()).body == b'claimed'
    await timers.advance(INTENT_LIFETIME_SECONDS)
    assert await cleaner.clean('') == 1
    assert await cleaner.clean('') == 0


_STEPS = st.lists(
    st.tuples(
        st.sampled_from((0, 1, 2)),
        st.sampled_from(('answer', 'refuse', 'lose')),
        st.lists(st.sampled_from(tuple(TableFault)), max_size=4),
        st.booleans(),
    ),
    min_size=2,
    max_size=6,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(steps=_STEPS)
async def test_no_interleaving_of_faults_runs_a_key_twice(steps):
    timers = ManualTimerService()
    table, service = MemoryTable(), FakeService()
    nodes = [Node(table, service, timers) for _ in range(3)]
    calls = []
    for index, result, faults, is_late_applied in steps:
        service.results.append(result)
        table.faults += faults
        calls.append(asyncio.create_task(nodes[index].call()))
        await asyncio.sleep(0)
        if is_late_applied and table.late_transactions:
            table.apply(table.late_transactions.pop())
        await nodes[index - 1].writer.flush()
    outcomes = await asyncio.gather(*calls, return_exceptions=True)
    assert all(
        isinstance(one, ServiceResponse | LadderError) for one in outcomes
    )
    assert len(service.executed) <= 1
    if service.executed:
        return
    assert all(
        isinstance(one, NotRunError | InProgressError) for one in outcomes
    )
