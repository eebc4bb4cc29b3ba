"""Exchanges that a silent service has left behind."""

import asyncio

import pytest

from ladder_clients.exchanges import AbandonedError, PendingExchanges
from ladder_core.timers import ManualTimerService


class Bench:
    def __init__(self):
        self.timers = ManualTimerService()
        self.pending = PendingExchanges(self.timers)

    def begin(self, seconds, wait_seconds=0):
        return asyncio.ensure_future(self.exchange(seconds, wait_seconds))

    async def exchange(self, seconds, wait_seconds):
        async with self.pending.track(wait_seconds):
            await self.timers.sleep(seconds)

    async def advance(self, seconds):
        await self.timers.advance(seconds)
        for _ in range(5):
            await asyncio.sleep(0)


@pytest.fixture
def bench():
    return Bench()


async def test_lost_call_is_given_up_when_a_later_one_is_answered(bench):
    """
    Ergasia grown, trouble-3: a store that had been silent for 7 s was back
    for 1.5 s before the last results of a step were written again.
    """
    lost = bench.begin(2)
    await bench.advance(0.9)
    bench.pending.record_timeout()
    bench.begin(0.01)
    await bench.advance(0.02)
    with pytest.raises(AbandonedError):
        await asyncio.wait_for(lost, 0.1)


async def test_slow_answer_gives_nothing_up(bench):
    older = bench.begin(2)
    bench.pending.record_timeout()
    await bench.advance(0.1)
    bench.begin(0.8)
    await bench.advance(0.85)
    assert not older.done()
    older.cancel()


async def test_call_that_is_only_slow_goes_on_without_a_silence(bench):
    """A full partition takes a second for a write while reads are quick."""
    slow = bench.begin(1)
    await bench.advance(0.9)
    bench.begin(0.01)
    await bench.advance(0.02)
    assert not slow.done()
    await bench.advance(0.1)
    assert slow.exception() is None


async def test_young_and_waiting_calls_go_on(bench):
    waiting = bench.begin(1.2, wait_seconds=1)
    await bench.advance(0.8)
    young = bench.begin(0.4)
    await bench.advance(0.2)
    bench.pending.record_timeout()
    bench.begin(0.01)
    await bench.advance(0.02)
    assert not waiting.done()
    assert not young.done()
    await bench.advance(0.5)
    assert waiting.done()
    assert waiting.exception() is None


async def test_cancelled_call_stays_cancelled(bench):
    call = bench.begin(2)
    await bench.advance(0.1)
    call.cancel()
    with pytest.raises(asyncio.CancelledError):
        await call
