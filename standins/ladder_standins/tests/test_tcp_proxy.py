import asyncio

import pytest

from ladder_standins.tcp_proxy import TcpProxy


async def echo(reader, writer):
    while line := await reader.readline():
        writer.write(line)


async def ask(connection):
    reader, writer = connection
    writer.write(b'x\n')
    return await asyncio.wait_for(reader.readline(), 0.5)


@pytest.fixture
async def relay():
    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    relayed = TcpProxy(f'{host}:{port}')
    await relayed.start()
    yield relayed
    await relayed.close()
    server.close()


async def connect(relay):
    host, _, port = relay.address.rpartition(':')
    return await asyncio.open_connection(host, port)


async def test_silenced_connection_stays_open_while_new_ones_work(relay):
    first = await connect(relay)
    assert await ask(first) == b'x\n'
    relay.silence_open_connections()
    with pytest.raises(TimeoutError):
        await ask(first)
    assert await ask(await connect(relay)) == b'x\n'


async def test_cut_relay_refuses_until_mended(relay):
    relay.cut()
    with pytest.raises(OSError):
        await connect(relay)
        reader, writer = await connect(relay)
        writer.write(b'x\n')
        if not await reader.readline():
            raise ConnectionResetError
    relay.restore()
    assert await ask(await connect(relay)) == b'x\n'
