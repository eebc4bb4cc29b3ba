"""
Guards against responses that never end.

A peer may send bytes without end in a head or a body until the caller closes.
Each receive renews the time-out without a received byte, so that one alone ends
nothing.
"""

import asyncio
import contextlib
import gc
import time

import pytest
from loguru import logger

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    ResponseTooLargeError,
    Timeouts,
    TransportError,
)
from ladder_core.timers import ManualTimerService
from ladder_standins.scripted import ScriptedTarget

GET = OutgoingRequest(b'GET', b'/', ((b'Host', b'pub'),))
DRIP_SECONDS = 0.02
# The peer stops by itself after this time, so that a failing test ends.
MAX_SECONDS = 4
TOTAL_SECONDS = 0.4
BODY_BYTES = 300_000
HEAD = b'HTTP/1.1 200 OK\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'
LENGTH = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%s'


class CollectorPauses:
    """Seconds for which the garbage collector halted this process."""

    def __init__(self):
        self.seconds = 0
        self._started_at = None

    def __enter__(self):
        gc.callbacks.append(self._record)
        return self

    def __exit__(self, *error):
        gc.callbacks.remove(self._record)

    def _record(self, phase, info):
        if phase == 'start':
            self._started_at = time.monotonic()
        elif self._started_at is not None:
            self.seconds += time.monotonic() - self._started_at


async def send_without_end(writer, first, piece, pause_seconds):
    writer.write(first)
    until = time.monotonic() + MAX_SECONDS
    while time.monotonic() < until:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause_seconds)


async def fetch(first, piece, pause_seconds, timeouts):
    async def script(request, writer):
        await send_without_end(writer, first, piece, pause_seconds)

    target = ScriptedTarget(script)
    await target.start()
    pool = ConnectionPool(ManualTimerService())
    try:
        with check_cut():
            async with pool.exchange(target.address, GET, timeouts) as response:
                await response.read(BODY_BYTES)
    finally:
        assert not pool.count_idle(target.address)
        await asyncio.gather(pool.close(), target.close())


@contextlib.contextmanager
def check_cut():
    """
    Check that a response is cut in time.

    A collection over the objects of all tests halts the whole process, its
    timers included, for up to a second.
    """
    started_at = time.monotonic()
    with CollectorPauses() as pauses:
        try:
            yield
        finally:
            elapsed_seconds = time.monotonic() - started_at
            assert elapsed_seconds - pauses.seconds < MAX_SECONDS / 2, (
                f'{elapsed_seconds:.2f} s, collector {pauses.seconds:.2f} s'
            )


TIMEOUTS = (Timeouts(TOTAL_SECONDS, 0.2), Timeouts(None, TOTAL_SECONDS))
INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'


@pytest.mark.parametrize('timeouts', TIMEOUTS)
@pytest.mark.parametrize('pause_seconds', [0, DRIP_SECONDS])
@pytest.mark.parametrize(
    ('first', 'piece'),
    [
        (INTERIM, INTERIM),
        (HEAD, b'X-More: 1\r\n'),
        (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x'),
        (b'', b'\r\n'),
        (b'', b'noise'),
    ],
)
async def test_head_without_end_is_cut(first, piece, pause_seconds, timeouts):
    with pytest.raises(TransportError):
        await fetch(first, piece, pause_seconds, timeouts)


@pytest.mark.parametrize(
    ('first', 'piece'),
    [
        (CHUNKED % b'', b'4\r\nmore\r\n'),
        (CHUNKED % b'4', b';x'),
        (CHUNKED % b'0\r\n', b'X-More: 1\r\n'),
        (LENGTH % 999_999_999_999, b'more'),
        (UNFRAMED, b'more'),
    ],
)
@pytest.mark.parametrize('pause_seconds', [0, DRIP_SECONDS])
async def test_body_without_end_is_cut(first, piece, pause_seconds):
    with pytest.raises(TransportError):
        await fetch(first, piece, pause_seconds, TIMEOUTS[0])


@pytest.fixture
def log_lines():
    lines: list[str] = []
    sink = logger.add(lines.append, format='{message}')
    yield lines
    logger.remove(sink)


async def test_body_over_the_limit_is_cut_and_logged(log_lines):
    with pytest.raises(ResponseTooLargeError, match='over 300000 bytes'):
        await fetch(UNFRAMED, b'x' * 100_000, 0, TIMEOUTS[1])
    assert any('response cut' in line for line in log_lines)


def halt_like_a_collection():
    for phase in ('start', 'stop'):
        for callback in gc.callbacks:
            callback(phase, {})
        if phase == 'start':
            time.sleep(0.7)


async def test_time_out_that_a_collection_delays_is_in_time():
    asyncio.get_running_loop().call_later(
        3.6 * TOTAL_SECONDS, halt_like_a_collection
    )
    with pytest.raises(TransportError):
        await fetch(UNFRAMED, b'more', DRIP_SECONDS, TIMEOUTS[0])


def test_late_cut_is_noticed():
    with pytest.raises(AssertionError), check_cut():
        time.sleep(MAX_SECONDS / 2 + 0.1)


async def test_body_up_to_the_limit_is_read():
    async def script(request, writer):
        writer.write(LENGTH % BODY_BYTES)
        writer.write(b'x' * BODY_BYTES)
        await writer.drain()

    target = ScriptedTarget(script)
    await target.start()
    pool = ConnectionPool(ManualTimerService())
    async with pool.exchange(target.address, GET, TIMEOUTS[0]) as response:
        assert len(await response.read(BODY_BYTES)) == BODY_BYTES
    await pool.close()
    await target.close()
