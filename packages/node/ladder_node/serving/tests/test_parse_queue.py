"""
Guards against clients that cost a node much processor time for few bytes.

The bytes of one read, in the smallest pieces that are allowed, took a tenth of
a second to parse. Some dozens of such clients kept a node from serving anybody
else. The tests count what was parsed before another request was answered, so
that they don't depend on the speed of the machine.
"""

import asyncio

import h11
import pytest

from ladder_node.serving.parse_queue import ParseQueue
from ladder_node.serving.protocol import _BoundedHttp
from ladder_node.serving.tests.test_admission import OK, Server

CROWD_SIZE = 8
CHUNK = b'1\r\nx\r\n'
CHUNKS = 60_000
# What one connection receives in one read.
CHUNKS_OF_ONE_READ = 65_536 // len(CHUNK)
ORDINARY = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx'
CHUNKED = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
ENDLESS = b''.join((CHUNKED, CHUNK * CHUNKS))
FIELDS = b'a:b\r\n' * 2000
LARGE_HEAD = b'GET / HTTP/1.1\r\nHost: a\r\n%s\r\n' % FIELDS


@pytest.fixture
async def server():
    made = Server()
    await made.server.start()
    yield made
    await made.close()


@pytest.fixture
def parsed(monkeypatch):
    """Return a list that grows by the kind of each event that is parsed."""
    events: list[object] = []
    next_event = h11.Connection.next_event

    def record(connection):
        event = next_event(connection)
        events.append(type(event))
        return event

    monkeypatch.setattr(h11.Connection, 'next_event', record)
    return events


async def test_request_is_answered_while_a_crowd_sends_one_byte_chunks(
    server, parsed
):
    for _ in range(CROWD_SIZE):
        _, writer = await server.open()
        writer.write(ENDLESS)
    while h11.Data not in parsed:
        await asyncio.sleep(0)
    before = parsed.count(h11.Data)
    assert (await server.ask(ORDINARY)).startswith(OK)
    assert parsed.count(h11.Data) - before < CHUNKS_OF_ONE_READ


async def test_request_is_answered_while_a_crowd_sends_heads_of_many_fields(
    server, parsed
):
    """Guards against all heads of a crowd parsed in one turn."""
    crowd = [await server.open() for _ in range(4 * CROWD_SIZE)]
    reader, writer = await server.open()
    await asyncio.sleep(0.1)
    for _, crowd_writer in crowd:
        crowd_writer.write(LARGE_HEAD)
    writer.write(ORDINARY)
    assert (await reader.readline()).startswith(OK)
    assert parsed.count(h11.Request) < 2 * CROWD_SIZE


async def test_body_in_small_chunks_is_whole(server):
    _, writer = await server.open()
    writer.writelines((CHUNKED, CHUNK * 5000, b'0\r\n\r\n', ORDINARY))
    while len(server.bodies) < 2:
        await asyncio.sleep(0.01)
    assert server.bodies == [b'x' * 5000, b'x']


async def test_connection_that_ends_while_it_waits_is_left_out(server):
    reader, writer = await server.open()
    writer.write(ENDLESS)
    await asyncio.sleep(0.05)
    writer.transport.abort()
    assert (await server.ask(ORDINARY)).startswith(OK)


async def test_one_connection_is_parsed_in_each_turn():
    queue = ParseQueue()
    order = []

    def parse(name, left):
        order.append(name)
        if left:
            queue.add(lambda: parse(name, left - 1))

    queue.add(lambda: parse('a', 2))
    queue.add(lambda: parse('b', 2))
    for turn in range(1, 7):
        await asyncio.sleep(0)
        assert len(order) == turn
    assert ''.join(order) == 'ababab'


async def test_slice_that_fails_does_not_stop_the_others():
    queue = ParseQueue()
    done = []
    loop = asyncio.get_running_loop()
    failures = []
    loop.set_exception_handler(lambda _, context: failures.append(context))

    def fail():
        raise RuntimeError('no slice')

    queue.add(fail)
    queue.add(lambda: done.append(1))
    await asyncio.sleep(0.01)
    assert done
    assert len(failures) == 1


def test_slice_ends_after_a_number_of_events():
    http = _BoundedHttp(16_384)
    http.receive_data(ENDLESS)
    http.begin_slice(is_own_turn=True)
    events = 0
    while http.next_event() is not h11.NEED_DATA:
        events += 1
    assert http.is_cut
    assert events == 64
