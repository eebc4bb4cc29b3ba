import asyncio

from ladder_node.peers import ZmqTransport
from ladder_node.peers.transport import Channel
from ladder_standins.fleet.ports import find_free_ports

WAIT_SECONDS = 20


async def test_frames_go_both_ways_and_a_new_connection_replaces_one():
    # The peer must know the port, so port zero can't be used.
    address = f'127.0.0.1:{find_free_ports(1)[0]}'
    accepted: list[Channel] = []
    first, second = ZmqTransport(address), ZmqTransport('127.0.0.1:1')
    try:
        await first.listen(accepted.append)
        async with asyncio.timeout(WAIT_SECONDS):
            for number in range(2):
                channel = second.connect(address)
                channel.send(b'there')
                while len(accepted) <= number:
                    await asyncio.sleep(0.01)
                assert await accepted[number].receive() == b'there'
                accepted[number].send(b'back')
                assert await channel.receive() == b'back'
                channel.close()
                accepted[number].close()
    finally:
        await second.close()
        await first.close()


async def test_full_connection_drops_frames_and_never_blocks():
    transport = ZmqTransport('127.0.0.1:1')
    channel = transport.connect('127.0.0.1:9')
    for _ in range(500):
        channel.send(b'frame')
    channel.close()
    await transport.close()
