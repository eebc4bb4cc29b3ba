import asyncio
import socket
import struct

import pytest

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    PoolLimits,
    SilentConnectionError,
    Timeouts,
    TransportBrokenError,
    UnreachableError,
)
from ladder_core.errors import OverloadedError
from ladder_core.timers import ManualTimerService
from ladder_standins.scripted import ScriptedTarget, format_response

GET = OutgoingRequest(b'GET', b'/kegs?full=%20', ((b'Host', b'pub'),))


async def answer_whole(request, writer):
    writer.write(format_response(request.path.encode()))
    await writer.drain()


class PoolHarness:
    def __init__(self, limits=None):
        self.timers = ManualTimerService()
        self.pool = ConnectionPool(self.timers, limits)
        self.targets = []

    async def serve(self, script):
        target = ScriptedTarget(script, keeps_connections=True)
        await target.start()
        self.targets.append(target)
        return target

    async def fetch(self, target, **options):
        async with self.pool.exchange(
            target.address,
            GET,
            Timeouts(1, 0.2),
            **options,
        ) as response:
            return response.status, await response.read()

    async def close(self):
        await self.pool.close()
        for target in self.targets:
            await target.close()


@pytest.fixture
async def harness():
    started = PoolHarness()
    await started.pool.start()
    yield started
    await started.close()


async def test_connection_is_kept_after_a_whole_answer(harness):
    target = await harness.serve(answer_whole)
    for _ in range(3):
        assert await harness.fetch(target) == (200, b'/kegs?full=%20')
    assert target.connections == 1


async def test_request_that_may_run_once_gets_a_new_connection(harness):
    target = await harness.serve(answer_whole)
    await harness.fetch(target)
    await harness.fetch(target, needs_new_connection=True)
    assert target.connections == 2


async def test_connection_with_bytes_of_no_request_is_dropped(harness):
    async def answer_twice(request, writer):
        writer.write(format_response(b'own') + format_response(b'late'))
        await writer.drain()

    target = await harness.serve(answer_twice)
    assert await harness.fetch(target) == (200, b'own')
    assert await harness.fetch(target) == (200, b'own')
    assert target.connections == 2


async def test_connection_on_which_a_late_answer_arrives_is_dropped(harness):
    async def answer_again_later(request, writer):
        writer.write(format_response(b'own'))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(format_response(b'late'))
        await writer.drain()

    target = await harness.serve(answer_again_later)
    await harness.fetch(target)
    await asyncio.sleep(0.05)
    assert harness.pool.count_idle(target.address) == 0
    assert await harness.fetch(target) == (200, b'own')


async def test_connection_of_a_cancelled_request_is_dropped(harness):
    async def answer_late(request, writer):
        await asyncio.sleep(0.1)
        writer.write(format_response(b'late'))
        await writer.drain()

    target = await harness.serve(answer_late)
    request = asyncio.create_task(harness.fetch(target))
    await asyncio.sleep(0.05)
    request.cancel()
    await asyncio.gather(request, return_exceptions=True)
    assert harness.pool.count_idle(target.address) == 0


async def test_short_answer_does_not_look_complete(harness):
    async def answer_half(request, writer):
        writer.write(format_response(b'half', {'content-length': '9'}))
        await writer.drain()
        writer.close()

    target = await harness.serve(answer_half)
    with pytest.raises(TransportBrokenError):
        await harness.fetch(target)
    assert harness.pool.count_idle(target.address) == 0


async def test_answer_without_length_that_is_reset_is_not_complete(harness):
    async def answer_and_reset(request, writer):
        writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
        await writer.drain()
        await asyncio.sleep(0.01)
        connection = writer.get_extra_info('socket')
        # With a linger time of zero, closing the socket resets the connection.
        no_wait = struct.pack('ii', 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_wait)
        writer.transport.abort()

    target = await harness.serve(answer_and_reset)
    with pytest.raises(TransportBrokenError):
        await harness.fetch(target)


async def test_bytes_that_are_no_answer_are_an_error(harness):
    async def send_garbage(request, writer):
        writer.write(b'\x00\x01\x02 what\r\n\r\n')
        await writer.drain()

    target = await harness.serve(send_garbage)
    with pytest.raises(TransportBrokenError):
        await harness.fetch(target)


async def test_nothing_is_sent_twice(harness):
    async def close_without_answer(request, writer):
        writer.close()

    target = await harness.serve(close_without_answer)
    with pytest.raises(TransportBrokenError):
        await harness.fetch(target)
    assert len(target.received) == 1


async def test_connection_is_dropped_before_the_other_end_closes_it(harness):
    async def answer_with_limit(request, writer):
        writer.write(format_response(b'', {'keep-alive': 'timeout=2'}))
        await writer.drain()

    target = await harness.serve(answer_with_limit)
    await harness.fetch(target)
    await harness.timers.advance(1.4)
    assert harness.pool.count_idle(target.address) == 1
    await harness.timers.advance(0.2)
    assert harness.pool.count_idle(target.address) == 0


async def test_connection_is_not_kept_if_the_peer_announces_its_close(harness):
    async def answer_and_leave(request, writer):
        writer.write(format_response(b'', {'connection': 'close'}))
        await writer.drain()

    target = await harness.serve(answer_and_leave)
    await harness.fetch(target)
    assert harness.pool.count_idle(target.address) == 0


async def test_silent_connection_differs_from_a_broken_one(harness):
    async def stay_silent(request, writer):
        await asyncio.sleep(3600)

    target = await harness.serve(stay_silent)
    with pytest.raises(SilentConnectionError):
        await harness.fetch(target)


async def test_refused_connection_sent_nothing(harness):
    with pytest.raises(UnreachableError):
        async with harness.pool.exchange('127.0.0.1:1', GET):
            raise AssertionError('nothing listens there')


async def test_connections_to_one_address_are_bounded():
    harness = PoolHarness(PoolLimits(max_per_address=2))
    released = asyncio.Event()

    async def wait(request, writer):
        await released.wait()
        writer.write(format_response(b''))
        await writer.drain()

    target = await harness.serve(wait)
    requests = [asyncio.create_task(harness.fetch(target)) for _ in range(2)]
    await asyncio.sleep(0.05)
    with pytest.raises(OverloadedError):
        await harness.fetch(target)
    released.set()
    await asyncio.gather(*requests)
    await harness.close()
    assert target.connections == 2


async def test_connection_that_only_waits_detects_a_dead_path(harness):
    """
    Guards against exchanges on a silent path that nothing ends.

    Without probes the time-out of unacknowledged data never starts on a
    connection that has sent everything and waits for its response.
    """
    target = await harness.serve(answer_whole)
    await harness.fetch(target)
    kept = harness.pool.list_connections(target.address)
    opened = kept[0]._transport.get_extra_info('socket')
    assert opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    for option, setting in (
        (socket.TCP_KEEPIDLE, 1),
        (socket.TCP_KEEPINTVL, 1),
        (socket.TCP_USER_TIMEOUT, 3000),
    ):
        assert opened.getsockopt(socket.IPPROTO_TCP, option) == setting


async def test_slow_sound_stream_outlives_the_limit_of_dead_paths():
    """Guards against sound connections that are closed as dead."""

    async def answer_late(request, writer):
        await asyncio.sleep(2.5)
        await answer_whole(request, writer)

    harness = PoolHarness(PoolLimits(dead_path_seconds=1))
    target = await harness.serve(answer_late)
    async with harness.pool.exchange(
        target.address, GET, Timeouts(5, 5)
    ) as response:
        assert await response.read() == b'/kegs?full=%20'
    await harness.close()


async def test_body_without_a_length_is_not_whole_if_this_host_closes_it():
    """Guards against a part of a body that is taken for all of it."""

    async def answer_in_part(request, writer):
        writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
        await writer.drain()
        await asyncio.sleep(9)

    harness = PoolHarness()
    target = await harness.serve(answer_in_part)
    async with harness.pool.exchange(
        target.address, GET, Timeouts(1, 1)
    ) as response:
        assert await response.read_chunk() == b'part'
        await harness.pool.close()
        with pytest.raises(TransportBrokenError):
            await response.read_chunk()
    await harness.close()


async def test_idle_connections_make_room_for_new_ones():
    """
    Guards against refusals while only idle connections reach the limit.

    Requests that run once need new connections, and leave idle ones behind.
    """
    harness = PoolHarness(PoolLimits(max_per_address=2))
    target = await harness.serve(answer_whole)
    for _ in range(4):
        await harness.fetch(target, needs_new_connection=True)
    assert target.connections == 4
    assert harness.pool.count_idle(target.address) <= 2
    await harness.close()


@pytest.mark.parametrize(
    'address', ['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1', ':80', '']
)
async def test_address_that_can_not_be_used_is_unreachable(harness, address):
    """
    Guards against a request that fails since one of its replicas is misnamed.

    The error says that nothing was sent, so the request goes on to another.
    """
    with pytest.raises(UnreachableError):
        async with harness.pool.exchange(address, GET, Timeouts(1, 0.2)):
            raise AssertionError('there is no connection to this address')


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize(
    'sent',
    [
        b'HTTP/1.1 2',
        b'HTTP/1.1 200 OK',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwho',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n',
    ],
)
async def test_answer_that_breaks_off_is_not_whole(harness, sent, is_reset):
    """Guards against the head of a broken answer that becomes a short one."""

    async def break_off(request, writer):
        writer.write(sent)
        await writer.drain()
        if is_reset:
            linger = struct.pack('ii', 1, 0)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        writer.close()

    target = await harness.serve(break_off)
    with pytest.raises(TransportBrokenError):
        await harness.fetch(target)
