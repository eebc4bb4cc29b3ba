"""Guards against copies of large bodies that wait in a connection."""

import asyncio
import contextlib
from typing import Any

import pytest

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    SilentConnectionError,
    Timeouts,
)
from ladder_core.timers import SystemTimerService
from ladder_standins.scripted import ScriptedTarget, format_response

BODY = bytes(range(256)) * 80_000
REQUEST = OutgoingRequest(b'POST', b'/', ((b'Host', b'pub'),), BODY)


async def answer(request, writer):
    writer.write(format_response(str(len(request.body)).encode()))
    await writer.drain()


@pytest.fixture
async def pool():
    made = ConnectionPool(SystemTimerService())
    yield made
    await made.close()


async def test_large_body_arrives_whole_and_its_connection_is_kept(pool):
    target = ScriptedTarget(answer, keeps_connections=True)
    await target.start()
    try:
        for _ in range(2):
            async with pool.exchange(target.address, REQUEST) as response:
                assert int(await response.read()) == len(BODY)
    finally:
        await target.close()
    assert [request.body for request in target.received] == [BODY, BODY]
    assert target.connections == 1


class Server:
    """Calls a function for each connection, and closes them all at its end."""

    def __init__(self, handle):
        self._handle = handle
        self._tasks = []
        self._server: Any = None
        self.address = ''

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *error):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self._tasks.append(asyncio.current_task())
        try:
            await self._handle(reader, writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.transport.abort()
            with contextlib.suppress(OSError):
                await writer.wait_closed()


async def read_nothing(reader, writer):
    writer.transport.pause_reading()
    await asyncio.sleep(60)


async def refuse(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    writer.write(format_response(b'no', status=413))
    await writer.drain()
    await reader.read()


async def test_target_that_reads_nothing_gets_no_copy_of_the_body(pool):
    """The transport held the whole body again until the target read it."""
    waiting = []

    async def watch(address):
        await asyncio.sleep(0.3)
        for connection in pool.list_connections(address):
            waiting.append(connection._transport.get_write_buffer_size())

    async with Server(read_nothing) as server:
        watching = asyncio.create_task(watch(server.address))
        with pytest.raises(SilentConnectionError):
            async with pool.exchange(
                server.address, REQUEST, Timeouts(0.6, 0.6)
            ):
                raise AssertionError('no answer was sent')
        await watching
    assert len(waiting) == 1
    assert waiting[0] < 200_000


async def test_answer_before_the_end_of_a_body_is_read(pool):
    """A target may refuse a request before it has read the body."""
    async with Server(refuse) as server:
        async with pool.exchange(
            server.address, REQUEST, Timeouts(2, 2)
        ) as response:
            assert response.status == 413
            assert await response.read() == b'no'
        assert not pool.count_idle(server.address)


async def test_growth_of_a_response_is_announced_before_it_is_read(pool):
    """A caller of the response bounds what it holds in memory."""
    sizes = []

    async def note(size):
        sizes.append(size)

    async def send(request, writer):
        writer.write(format_response(BODY))
        await writer.drain()

    target = ScriptedTarget(send)
    await target.start()
    try:
        async with pool.exchange(target.address, REQUEST) as response:
            response.before_growth = note
            body = await response.read(len(BODY))
    finally:
        await target.close()
    assert body == BODY
    assert sizes[0] == len(BODY)
    assert sizes[-1] == len(BODY)
