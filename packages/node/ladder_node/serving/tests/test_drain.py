import asyncio
import contextlib

import pytest

from ladder_core.errors import NodeLeavingError
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.serving import Drain, EntryMiddleware, Shutdown
from ladder_node.serving.drain import LEAVE_PROPAGATION_SECONDS

ADDRESS_TTL_SECONDS = 10


class DrainHarness:
    def __init__(self):
        self.timers = ManualTimerService()
        self.left: list[float] = []
        timeline = Timeline('node', HybridClock(self.timers))
        self.drain = Drain(
            lambda: self.left.append(self.timers.now()),
            ADDRESS_TTL_SECONDS,
            self.timers,
            timeline,
        )


@pytest.fixture
def harness():
    return DrainHarness()


async def test_drain_leaves_first_then_waits_for_cached_addresses(harness):
    task = asyncio.create_task(harness.drain.run())
    await harness.timers.advance(
        LEAVE_PROPAGATION_SECONDS + ADDRESS_TTL_SECONDS - 0.1
    )
    assert harness.left == [0]
    assert not task.done()
    await harness.timers.advance(0.2)
    assert task.done()
    assert harness.drain.is_done


async def test_drain_waits_for_requests_in_progress_without_a_limit(harness):
    harness.drain.begin_request()
    task = asyncio.create_task(harness.drain.run())
    await harness.timers.advance(3600)
    assert not task.done()
    harness.drain.end_request()
    await harness.timers.settle()
    assert task.done()


async def test_second_drain_waits_for_the_first(harness):
    tasks = [asyncio.create_task(harness.drain.run()) for _ in range(2)]
    await harness.timers.advance(5)
    assert not any(task.done() for task in tasks)
    await harness.timers.advance(10)
    assert all(task.done() for task in tasks)
    assert len(harness.left) == 1


async def test_long_poll_ends_early_while_draining(harness):
    async def pull(seconds):
        await harness.timers.sleep(seconds)
        return seconds

    pulling = asyncio.create_task(harness.drain.run_long_poll(pull, 600))
    task = asyncio.create_task(harness.drain.run())
    await harness.timers.advance(
        LEAVE_PROPAGATION_SECONDS + ADDRESS_TTL_SECONDS - 1
    )
    assert not pulling.done()
    await harness.timers.advance(2)
    assert pulling.result() == 0
    assert task.done()


async def call(app):
    sent = []

    async def send(message):
        sent.append(message)

    await app({'type': 'http'}, lambda: None, send)
    return dict(sent[0]['headers'])


async def test_responses_close_their_connections_while_draining(harness):
    async def respond(scope, receive, send):
        assert harness.drain.requests == 1
        await send({'type': 'http.response.start', 'headers': []})

    async def ensure_fresh():
        await harness.timers.sleep(0)

    app = EntryMiddleware(respond, harness.drain, ensure_fresh)
    assert b'connection' not in await call(app)
    task = asyncio.create_task(harness.drain.run())
    await harness.timers.settle()
    headers = await call(app)
    assert headers[b'connection'] == b'close'
    await harness.timers.advance(
        LEAVE_PROPAGATION_SECONDS + ADDRESS_TTL_SECONDS
    )
    await task


async def test_time_is_required_only_while_draining(harness):
    harness.drain.require_time(3600)
    task = asyncio.create_task(harness.drain.run_within(6))
    await harness.timers.advance(2)
    harness.drain.require_time(3.9)
    with pytest.raises(NodeLeavingError):
        harness.drain.require_time(4.1)
    await harness.timers.advance(4)
    await task
    with pytest.raises(NodeLeavingError):
        harness.drain.require_time(0.1)


async def test_drain_does_not_wait_for_what_is_announced(harness):
    """
    Guards against a node that says it is ready while the store is silent.

    The release of the lease and the notice to the other nodes waited for the
    store before the node began to leave.
    """
    timeline = Timeline('node', HybridClock(harness.timers))
    shutdown = Shutdown(harness.drain, harness.timers, timeline)
    task = asyncio.create_task(
        shutdown.run(6, harness.timers.sleep(3600), harness.timers.sleep(1))
    )
    await harness.timers.settle()
    assert harness.drain.is_leaving
    await harness.timers.advance(6.1)
    assert task.done()
    kinds = [one.kind for one in timeline.read(HybridTime(), 99)]
    assert kinds == ['shutdown-not-announced']


async def test_close_ends_within_its_time(harness):
    """Guards against a close that is still in progress at the kill."""
    timeline = Timeline('node', HybridClock(harness.timers))
    shutdown = Shutdown(harness.drain, harness.timers, timeline)
    task = asyncio.create_task(shutdown.close(harness.timers.sleep(3600), 1))
    await harness.timers.advance(1.1)
    assert task.done()


async def test_close_does_not_wait_for_a_suppressed_cancellation(harness):
    """Guards against components whose close goes on with the next call."""

    async def close():
        with contextlib.suppress(asyncio.CancelledError):
            await harness.timers.sleep(3600)
        await harness.timers.sleep(3600)

    timeline = Timeline('node', HybridClock(harness.timers))
    shutdown = Shutdown(harness.drain, harness.timers, timeline)
    task = asyncio.create_task(shutdown.close(close(), 1))
    await harness.timers.advance(1.3)
    assert task.done()
