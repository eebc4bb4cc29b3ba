import asyncio

import pytest

from ladder_standins.echo import EchoServer
from ladder_standins.tcp_proxy import PathLoss, TcpProxy


async def send_line(connection):
    reader, writer = connection
    writer.write(b'x\n')
    return await asyncio.wait_for(reader.readline(), 0.5)


@pytest.fixture
async def proxy():
    server = EchoServer()
    await server.start()
    tcp_proxy = TcpProxy(server.address)
    await tcp_proxy.start()
    yield tcp_proxy
    await tcp_proxy.close()
    await server.close()


async def test_silenced_connection_stays_open_while_new_ones_work(
    proxy, connect
):
    first = await connect(proxy.address)
    assert await send_line(first) == b'x\n'
    proxy.silence_open_connections()
    with pytest.raises(TimeoutError):
        await send_line(first)
    assert await send_line(await connect(proxy.address)) == b'x\n'


async def test_cut_proxy_refuses_until_restored(proxy, connect):
    proxy.cut()
    with pytest.raises(OSError):
        await connect(proxy.address)
        reader, writer = await connect(proxy.address)
        writer.write(b'x\n')
        if not await reader.readline():
            raise ConnectionResetError
    proxy.restore()
    assert await send_line(await connect(proxy.address)) == b'x\n'


async def test_cut_ends_a_connection_that_is_being_made(
    proxy, connect, monkeypatch
):
    """
    Guards against replicas that answer after their crash.

    A connection whose other half was not made yet outlived the cut, so a
    request that had crashed its replica got a response (soak, seed 524).
    """
    open_connection = asyncio.open_connection

    async def open_slowly(*address):
        await asyncio.sleep(0.1)
        return await open_connection(*address)

    monkeypatch.setattr(asyncio, 'open_connection', open_slowly)
    caller = await connect(proxy.address)
    await asyncio.sleep(0.05)
    proxy.cut()
    assert not await send_line(caller)


async def test_close_ends_a_connection_that_is_being_made(
    proxy, connect, monkeypatch
):
    """Guards against a proxy that leaves the stream of its caller open."""

    async def open_never(*address):
        await asyncio.sleep(60)

    monkeypatch.setattr(asyncio, 'open_connection', open_never)
    reader, _ = await connect(proxy.address)
    await asyncio.sleep(0.05)
    await proxy.close()
    assert not await asyncio.wait_for(reader.read(), 0.5)


async def test_hanging_path_answers_neither_open_nor_new_connections(
    proxy, connect
):
    first = await connect(proxy.address)
    assert await send_line(first) == b'x\n'
    await proxy.strand(PathLoss.hang)
    for connecting in (send_line(first), connect(proxy.address)):
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(connecting, 0.4)
    await proxy.restore_path()
    assert await send_line(await connect(proxy.address)) == b'x\n'


async def test_refusing_path_leaves_open_connections_alone(proxy, connect):
    first = await connect(proxy.address)
    await proxy.strand(PathLoss.refuse)
    assert await send_line(first) == b'x\n'
    with pytest.raises(ConnectionRefusedError):
        await connect(proxy.address)


async def test_reset_path_ends_open_connections_and_refuses_new_ones(
    proxy, connect
):
    first = await connect(proxy.address)
    assert await send_line(first) == b'x\n'
    await proxy.strand(PathLoss.reset)
    with pytest.raises(ConnectionError):
        await send_line(first)
    with pytest.raises(ConnectionRefusedError):
        await connect(proxy.address)
