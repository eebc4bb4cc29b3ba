"""Detection of exchanges that lost their response in an outage."""

import asyncio

import pytest

from ladder_clients.exchanges import AbandonedError, PendingExchanges
from ladder_core.timers import ManualTimerService


class ExchangeHarness:
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
def harness():
    return ExchangeHarness()


async def test_lost_call_is_given_up_when_a_later_one_is_answered(harness):
    """
    Guards against a late retry after an outage: a store had not responded for
    7 s, and the last results of a step were written again only 1.5 s after its
    recovery, because the lost calls waited for their whole time-out.
    """
    lost = harness.begin(2)
    await harness.advance(0.9)
    harness.pending.record_timeout()
    harness.begin(0.01)
    await harness.advance(0.02)
    with pytest.raises(AbandonedError):
        await asyncio.wait_for(lost, 0.1)


async def test_slow_response_cancels_no_older_call(harness):
    older = harness.begin(2)
    harness.pending.record_timeout()
    await harness.advance(0.1)
    harness.begin(0.8)
    await harness.advance(0.85)
    assert not older.done()
    older.cancel()


async def test_slow_call_continues_without_a_timeout(harness):
    """
    Guards against cancelling a slow call when there was no outage: a write to
    a full partition takes a second, while reads are fast.
    """
    slow = harness.begin(1)
    await harness.advance(0.9)
    harness.begin(0.01)
    await harness.advance(0.02)
    assert not slow.done()
    await harness.advance(0.1)
    assert slow.exception() is None


async def test_recent_calls_and_long_polls_continue(harness):
    waiting = harness.begin(1.2, wait_seconds=1)
    await harness.advance(0.8)
    young = harness.begin(0.4)
    await harness.advance(0.2)
    harness.pending.record_timeout()
    harness.begin(0.01)
    await harness.advance(0.02)
    assert not waiting.done()
    assert not young.done()
    await harness.advance(0.5)
    assert waiting.done()
    assert waiting.exception() is None


async def test_cancelled_call_stays_cancelled(harness):
    call = harness.begin(2)
    await harness.advance(0.1)
    call.cancel()
    with pytest.raises(asyncio.CancelledError):
        await call


async def test_second_answer_leaves_a_call_alone_that_is_being_given_up(
    harness,
):
    """
    Guards against a quick answer that fails because of an older call.

    The older call had expired and was still closing its connection when a
    second call was answered; its time-out could not be changed then, and the
    second call failed with a RuntimeError.
    """

    async def close_slowly():
        async with harness.pending.track(0):
            try:
                await harness.timers.sleep(2)
            finally:
                await harness.timers.sleep(0.1)

    lost = asyncio.ensure_future(close_slowly())
    await harness.advance(0.9)
    harness.pending.record_timeout()
    answered = []
    for _ in range(2):
        answered.append(harness.begin(0.01))
        await harness.advance(0.02)
    assert [call.exception() for call in answered] == [None, None]
    await harness.advance(0.2)
    with pytest.raises(AbandonedError):
        await lost


async def test_end_of_an_outage_gives_up_long_polls_too(harness):
    """Guards against changes that are seen only when a lost poll times out."""
    poll = harness.begin(9, wait_seconds=3)
    await harness.advance(0.9)
    harness.pending.record_timeout()
    async with harness.pending.track(0, ends_outage=True):
        await asyncio.sleep(0)
    with pytest.raises(AbandonedError):
        await asyncio.wait_for(poll, 0.1)
