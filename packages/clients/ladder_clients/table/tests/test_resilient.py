import asyncio

import pytest

from ladder_clients.table import (
    Condition,
    ResilientTableClient,
    StoreOutcomeUnknownError,
    TableAdmission,
    TableLimits,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_standins.rows import TableRows
from ladder_standins.timed_table import CallConditions, CallOutcome, TimedTable

INSERT = Transaction(
    'token',
    (Condition('t', 'k', 0),),
    (Write('t', 'k', 'body'),),
)


class TableHarness:
    """Resilient client over a simulated table whose faults a test sets."""

    def __init__(self, call_timeout_seconds=2, is_urgent=False, limits=None):
        self.timers = ManualTimerService()
        self.planned_conditions = []
        self.default_conditions = CallConditions()
        self.calls = []
        self.writes: list[str] = []
        self.admission = TableAdmission(self.timers, limits)
        rows = TableRows(lambda kind, subject, **_: self.writes.append(subject))
        inner = TimedTable(rows, self.timers, self._next_conditions)
        self.client = ResilientTableClient(
            inner,
            self.admission,
            self.timers,
            call_timeout_seconds,
            is_urgent,
        )

    async def run(self, call):
        task = asyncio.create_task(call)
        while not task.done():
            await self.timers.advance(0.5)
        return await task

    async def fail(self, times):
        for _ in range(times):
            with pytest.raises(StoreUnavailableError):
                await self.run(self.client.read('t', 'k'))

    def _next_conditions(self):
        self.calls.append(self.timers.now())
        return (
            self.planned_conditions.pop(0)
            if self.planned_conditions
            else self.default_conditions
        )


async def test_down_store_is_probed_and_not_called_for_each_request():
    harness = TableHarness(limits=TableLimits(burst=1000))
    timeline = Timeline('a', HybridClock(harness.timers))
    harness.admission.attach_timeline(timeline)
    harness.default_conditions = CallConditions(CallOutcome.refused)
    await harness.fail(5)
    calls = len(harness.calls)
    for _ in range(50):
        with pytest.raises(StoreUnavailableError):
            await harness.client.read('t', 'k')
    assert len(harness.calls) == calls
    harness.default_conditions = CallConditions()
    await harness.timers.advance(1)
    await harness.run(harness.client.read('t', 'k'))
    assert not harness.admission.breaker.is_open
    kinds = [event.kind for event in timeline.read(HybridTime(), 9)]
    assert kinds == ['store-failed', 'store-recovered']


async def test_slow_store_of_five_seconds_a_call_is_given_up_at_the_limit():
    harness = TableHarness()
    harness.default_conditions = CallConditions(
        request_seconds=2.5, response_seconds=2.5
    )
    with pytest.raises(StoreUnavailableError):
        await harness.run(harness.client.read('t', 'k'))
    assert harness.timers.now() <= 2.5
    with pytest.raises(StoreOutcomeUnknownError):
        await harness.run(harness.client.commit(INSERT))


async def test_urgent_calls_wait_five_seconds_and_bypass_an_open_breaker():
    harness = TableHarness(call_timeout_seconds=6, is_urgent=True)
    for _ in range(9):
        harness.admission.breaker.record_failure()
    harness.default_conditions = CallConditions(
        request_seconds=2.5, response_seconds=2.5
    )
    outcome = await harness.run(harness.client.commit(INSERT))
    assert outcome.committed
    assert harness.admission.breaker.is_open


@pytest.mark.parametrize('losses', [1, 2])
async def test_lost_response_is_resolved_and_the_effect_happens_once(losses):
    harness = TableHarness()
    harness.planned_conditions = [
        CallConditions(CallOutcome.answer_lost) for _ in range(losses)
    ]
    outcome = await harness.run(harness.client.commit(INSERT))
    assert outcome.committed
    assert harness.writes == ['t/k']
    assert len(harness.calls) == losses + 1


async def test_late_effect_happens_once():
    harness = TableHarness()
    harness.planned_conditions = [
        CallConditions(CallOutcome.late_effect, late_effect_seconds=30)
    ]
    assert (await harness.run(harness.client.commit(INSERT))).committed
    await harness.timers.advance(60)
    assert harness.writes == ['t/k']


async def test_lost_answer_is_no_refusal_although_the_store_goes_down():
    harness = TableHarness()
    harness.planned_conditions = [
        CallConditions(CallOutcome.answer_lost),
        CallConditions(CallOutcome.refused),
    ]
    with pytest.raises(StoreOutcomeUnknownError):
        await harness.run(harness.client.commit(INSERT))
    assert harness.writes == ['t/k']


async def test_calls_beyond_the_queue_are_refused_at_once():
    harness = TableHarness(limits=TableLimits(burst=1000, max_pending_calls=8))
    harness.default_conditions = CallConditions(request_seconds=2.5)
    tasks = [
        asyncio.create_task(harness.client.read('t', 'k')) for _ in range(100)
    ]
    await harness.timers.settle()
    assert len(harness.calls) == 8
    assert sum(task.done() for task in tasks) == 92
    await harness.timers.advance(3)
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_node_keeps_to_its_share_of_writes():
    harness = TableHarness(limits=TableLimits(burst=4))
    harness.admission.set_node_count(100)

    async def write_often():
        for number in range(400):
            write = Transaction(str(number), (), (Write('t', 'k', ''),))
            task = asyncio.create_task(harness.client.commit(write))
            await harness.timers.sleep(0.05)
            tasks.append(task)

    tasks: list[asyncio.Task[object]] = []
    await harness.run(write_often())
    await harness.timers.advance(200)
    await asyncio.gather(*tasks, return_exceptions=True)
    # At most 4 writes per second (a hundredth of 400) for 20 s, plus the burst.
    calls = [at for at in harness.calls if at <= 20]
    assert 80 <= len(calls) <= 20 * 4 + 4
