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
from ladder_core.timeline import HybridClock, HybridTime, TimeLine
from ladder_core.timers import ManualTimerService
from ladder_standins.rows import TableRows
from ladder_standins.timed_table import CallConditions, CallOutcome, TimedTable

INSERT = Transaction(
    'token',
    (Condition('t', 'k', 0),),
    (Write('t', 'k', 'body'),),
)


class Bench:
    """A resilient client over a table whose conditions a test sets."""

    def __init__(self, call_seconds=2, is_urgent=False, limits=None):
        self.timers = ManualTimerService()
        self.planned = []
        self.usual = CallConditions()
        self.calls = []
        self.writes: list[str] = []
        self.admission = TableAdmission(self.timers, limits)
        rows = TableRows(lambda kind, subject, **_: self.writes.append(subject))
        inner = TimedTable(rows, self.timers, self._draw)
        self.client = ResilientTableClient(
            inner,
            self.admission,
            self.timers,
            call_seconds,
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

    def _draw(self):
        self.calls.append(self.timers.now())
        return self.planned.pop(0) if self.planned else self.usual


async def test_down_store_is_probed_and_not_called_for_each_request():
    bench = Bench(limits=TableLimits(burst=1000))
    timeline = TimeLine('a', HybridClock(bench.timers))
    bench.admission.attach_timeline(timeline)
    bench.usual = CallConditions(CallOutcome.refused)
    await bench.fail(5)
    calls = len(bench.calls)
    for _ in range(50):
        with pytest.raises(StoreUnavailableError):
            await bench.client.read('t', 'k')
    assert len(bench.calls) == calls
    bench.usual = CallConditions()
    await bench.timers.advance(1)
    await bench.run(bench.client.read('t', 'k'))
    assert not bench.admission.breaker.is_open
    kinds = [event.kind for event in timeline.read(HybridTime(), 9)]
    assert kinds == ['store-failed', 'store-recovered']


async def test_slow_store_of_five_seconds_a_call_is_given_up_at_the_limit():
    bench = Bench()
    bench.usual = CallConditions(request_seconds=2.5, response_seconds=2.5)
    with pytest.raises(StoreUnavailableError):
        await bench.run(bench.client.read('t', 'k'))
    assert bench.timers.now() <= 2.5
    with pytest.raises(StoreOutcomeUnknownError):
        await bench.run(bench.client.commit(INSERT))


async def test_urgent_calls_bear_five_seconds_and_pass_an_open_breaker():
    bench = Bench(call_seconds=6, is_urgent=True)
    for _ in range(9):
        bench.admission.breaker.record_failure()
    bench.usual = CallConditions(request_seconds=2.5, response_seconds=2.5)
    outcome = await bench.run(bench.client.commit(INSERT))
    assert outcome.committed
    assert bench.admission.breaker.is_open


@pytest.mark.parametrize('losses', [1, 2])
async def test_effect_without_answer_is_learnt_and_happens_once(losses):
    bench = Bench()
    bench.planned = [
        CallConditions(CallOutcome.answer_lost) for _ in range(losses)
    ]
    outcome = await bench.run(bench.client.commit(INSERT))
    assert outcome.committed
    assert bench.writes == ['t/k']
    assert len(bench.calls) == losses + 1


async def test_late_effect_happens_once():
    bench = Bench()
    bench.planned = [
        CallConditions(CallOutcome.late_effect, late_effect_seconds=30)
    ]
    assert (await bench.run(bench.client.commit(INSERT))).committed
    await bench.timers.advance(60)
    assert bench.writes == ['t/k']


async def test_lost_answer_is_no_refusal_although_the_store_goes_down():
    bench = Bench()
    bench.planned = [
        CallConditions(CallOutcome.answer_lost),
        CallConditions(CallOutcome.refused),
    ]
    with pytest.raises(StoreOutcomeUnknownError):
        await bench.run(bench.client.commit(INSERT))
    assert bench.writes == ['t/k']


async def test_calls_beyond_the_queue_are_refused_at_once():
    bench = Bench(limits=TableLimits(burst=1000, pending_calls=8))
    bench.usual = CallConditions(request_seconds=2.5)
    tasks = [
        asyncio.create_task(bench.client.read('t', 'k')) for _ in range(100)
    ]
    await bench.timers.settle()
    assert len(bench.calls) == 8
    assert sum(task.done() for task in tasks) == 92
    await bench.timers.advance(3)
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_node_keeps_to_its_share_of_writes():
    bench = Bench(limits=TableLimits(burst=4))
    bench.admission.set_node_count(100)

    async def write_often():
        for number in range(400):
            write = Transaction(str(number), (), (Write('t', 'k', ''),))
            task = asyncio.create_task(bench.client.commit(write))
            await bench.timers.sleep(0.05)
            tasks.append(task)

    tasks: list[asyncio.Task[object]] = []
    await bench.run(write_often())
    await bench.timers.advance(200)
    await asyncio.gather(*tasks, return_exceptions=True)
    # A hundredth of 400 writes a second for 20 s and the burst, and no more.
    calls = [at for at in bench.calls if at <= 20]
    assert 80 <= len(calls) <= 20 * 4 + 4
