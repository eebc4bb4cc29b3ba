import asyncio

import pytest

from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.serving import Drain, EntryMiddleware
from ladder_node.serving.drain import LEAVE_PROPAGATION_SECONDS

ADDRESS_TTL_SECONDS = 10


class Bench:
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
def bench():
    return Bench()


async def test_drain_leaves_first_then_waits_for_kept_answers(bench):
    task = asyncio.create_task(bench.drain.run())
    await bench.timers.advance(
        LEAVE_PROPAGATION_SECONDS + ADDRESS_TTL_SECONDS - 0.1
    )
    assert bench.left == [0]
    assert not task.done()
    await bench.timers.advance(0.2)
    assert task.done()
    assert bench.drain.is_done


async def test_drain_waits_for_what_runs_however_long(bench):
    bench.drain.begin_request()
    task = asyncio.create_task(bench.drain.run())
    await bench.timers.advance(3600)
    assert not task.done()
    bench.drain.end_request()
    await bench.timers.settle()
    assert task.done()


async def test_second_drain_waits_for_the_first(bench):
    tasks = [asyncio.create_task(bench.drain.run()) for _ in range(2)]
    await bench.timers.advance(5)
    assert not any(task.done() for task in tasks)
    await bench.timers.advance(10)
    assert all(task.done() for task in tasks)
    assert len(bench.left) == 1


async def test_pull_ends_early_with_what_is_there(bench):
    async def pull(seconds):
        await bench.timers.sleep(seconds)
        return seconds

    pulling = asyncio.create_task(bench.drain.run_long_poll(pull, 600))
    task = asyncio.create_task(bench.drain.run())
    await bench.timers.advance(
        LEAVE_PROPAGATION_SECONDS + ADDRESS_TTL_SECONDS - 1
    )
    assert not pulling.done()
    await bench.timers.advance(2)
    assert pulling.result() == 0
    assert task.done()


async def call(app):
    sent = []

    async def send(message):
        sent.append(message)

    await app({'type': 'http'}, lambda: None, send)
    return dict(sent[0]['headers'])


async def test_answers_close_their_connections_while_draining(bench):
    async def answer(scope, receive, send):
        assert bench.drain.requests == 1
        await send({'type': 'http.response.start', 'headers': []})

    async def ensure_fresh():
        await bench.timers.sleep(0)

    app = EntryMiddleware(answer, bench.drain, ensure_fresh)
    assert b'connection' not in await call(app)
    task = asyncio.create_task(bench.drain.run())
    await bench.timers.settle()
    headers = await call(app)
    assert headers[b'connection'] == b'close'
    await bench.timers.advance(LEAVE_PROPAGATION_SECONDS + ADDRESS_TTL_SECONDS)
    await task
