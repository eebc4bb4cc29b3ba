"""Guards against requests that make a server hold more than it may."""

import asyncio
import contextlib

import pytest

from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import SystemTimerService
from ladder_core.values import CallerLimits
from ladder_node.serving import (
    ClientBounds,
    ClientGuard,
    EntryServer,
    HostLimits,
)
from ladder_standins.fleet.ports import find_free_ports

MAX_BODY = 2_000_000
MAX_HEADERS = 16_384
OK = b'HTTP/1.1 200'


class Server:
    """A server that reads each body, and answers with as many bytes."""

    def __init__(self):
        timers = SystemTimerService()
        self.guard = ClientGuard(
            HostLimits(memory_bytes=64_000_000),
            timers,
            Timeline('a', HybridClock(timers)),
        )
        self.guard.set_limits(CallerLimits(MAX_BODY, 15, MAX_HEADERS, 3))
        self.port = find_free_ports(1)[0]
        self.server = EntryServer(
            self.handle,
            f'127.0.0.1:{self.port}',
            0,
            ClientBounds(self.guard),
        )
        self.bodies = []
        self.waiting = asyncio.Event()
        self.waiting.set()
        self.writers = []

    async def handle(self, scope, receive, send):
        body = b''
        more = True
        while more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            body += message['body']
            more = message['more_body']
        self.bodies.append(body)
        await self.waiting.wait()
        length = str(len(body)).encode()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', length)],
            }
        )
        await send({'type': 'http.response.body', 'body': body})

    async def open(self):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.writers.append(writer)
        return reader, writer

    async def ask(self, content):
        """Return the first line of the response to some bytes."""
        reader, writer = await self.open()
        writer.write(content)
        return await reader.readline()

    async def close(self):
        for writer in self.writers:
            writer.transport.abort()
        for writer in self.writers:
            with contextlib.suppress(OSError):
                await writer.wait_closed()
        await self.server.close()
        await self.guard.close()


@pytest.fixture
async def server():
    made = Server()
    await made.guard.start()
    await made.server.start()
    yield made
    await made.close()


def make_request(body=b'', fields='', length=None):
    size = len(body) if length is None else length
    head = f'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n{fields}'
    return b'\r\n'.join((head.encode(), body))


async def test_declared_length_over_the_limit_is_refused_unread(server):
    line = await server.ask(make_request(length=MAX_BODY + 1))
    assert line.startswith(b'HTTP/1.1 413')
    assert not server.bodies


async def test_bodies_that_do_not_fit_are_refused_and_have_not_run(server):
    """The bytes of a body that stops count until its connection is closed."""
    held = []
    for _ in range(6):
        reader, writer = await server.open()
        writer.write(make_request(b'x' * 1000, length=MAX_BODY))
        held.append(asyncio.create_task(reader.readline()))
    await asyncio.sleep(0.3)
    lines = [task.result() for task in held if task.done()]
    for task in held:
        task.cancel()
    await asyncio.gather(*held, return_exceptions=True)
    assert len(lines) == 5
    assert all(line.startswith(b'HTTP/1.1 429') for line in lines)
    assert not server.bodies
    assert server.guard.budget.held_bytes == MAX_BODY
    assert (await server.ask(make_request(b'x'))).startswith(OK)


async def test_largest_body_is_served_and_its_bytes_are_released(server):
    reader, writer = await server.open()
    body = bytes(range(250)) * (MAX_BODY // 250)
    writer.write(make_request(body))
    answer = await reader.readuntil(b'\r\n\r\n')
    assert answer.startswith(OK)
    assert await reader.readexactly(MAX_BODY) == body
    assert server.bodies == [body]
    writer.write(make_request(b'again'))
    assert (await reader.readuntil(b'again')).startswith(OK)
    assert not server.guard.budget.held_bytes


async def test_body_in_chunks_is_counted_as_it_arrives(server):
    reader, writer = await server.open()
    writer.write(
        b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    writer.write(b'%x\r\n%s\r\n' % (500_000, b'x' * 500_000))
    await writer.drain()
    await asyncio.sleep(0.2)
    assert server.guard.budget.held_bytes == 500_000
    writer.write(b'0\r\n\r\n')
    assert (await reader.readline()).startswith(OK)


@pytest.mark.parametrize('size', [17_000, 40_000, 300_000])
async def test_header_fields_over_the_limit_get_431(server, size):
    """h11 parses a head of any size that is received in one piece."""
    fields = 'a:b\r\n' * (size // 5)
    line = await server.ask(make_request(b'x', fields))
    assert line.startswith(b'HTTP/1.1 431')
    assert not server.bodies


async def test_header_fields_at_the_limit_are_served(server):
    fields = f'a: {"x" * (MAX_HEADERS - 100)}\r\n'
    assert (await server.ask(make_request(b'x', fields))).startswith(OK)


async def test_pipelined_requests_are_answered_in_order(server):
    """Those that wait are read on as far as the limit allows."""
    count = 200
    reader, writer = await server.open()
    bodies = [b'%04d' % number * 1000 for number in range(count)]
    sending = asyncio.create_task(send_all(writer, map(make_request, bodies)))
    for body in bodies:
        await reader.readuntil(b'\r\n\r\n')
        assert await reader.readexactly(len(body)) == body
    await sending


async def send_all(writer, requests):
    for request in requests:
        writer.write(request)
        await writer.drain()


async def test_waiting_pipelined_requests_are_not_read_without_end(server):
    server.waiting.clear()
    _, writer = await server.open()
    requests = [make_request(b'x' * 4000) for _ in range(4000)]
    sends = [asyncio.create_task(send_all(writer, requests))]
    await asyncio.sleep(0.5)
    connections = list(server.guard._watches)
    assert len(connections) == 1
    assert len(connections[0].conn.trailing_data[0]) < 300_000
    assert not sends[0].done()
    sends[0].cancel()
    await asyncio.gather(*sends, return_exceptions=True)


async def test_malformed_request_is_refused(server):
    assert (await server.ask(b'what\r\n\r\n')).startswith(b'HTTP/1.1 400')
