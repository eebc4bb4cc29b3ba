import asyncio

import pytest

from ladder_core.timers import ManualTimerService
from ladder_node.members import Member
from ladder_node.stream_origins import (
    OriginMessage,
    OriginSender,
    StreamOrigin,
    StreamOrigins,
)

OLD = StreamOrigin('app', 'old')
NEW = StreamOrigin('app', 'new')


class Nodes(OriginSender):
    """Nodes that reach each other unless they are gone."""

    def __init__(self, count=6):
        self.timers = ManualTimerService()
        self.origins = {}
        for number in range(count):
            self.start(f'node-{number}')

    def start(self, name):
        self.origins[name] = StreamOrigins(
            name, self.list_members, self, self.timers
        )

    def list_members(self):
        return [
            Member(name, '', '', '', '', peer_address=name)
            for name in self.origins
        ]

    async def send(self, address, message):
        await asyncio.sleep(0)
        receiver = self.origins.get(address)
        return receiver.receive(message) if receiver else None

    def list_homes(self, attempt):
        outsider = StreamOrigins('none', self.list_members, self, self.timers)
        return [home.name for home in outsider._list_homes(attempt)]

    def list_others(self, attempt):
        return sorted(set(self.origins) - set(self.list_homes(attempt)))

    async def close(self):
        for origins in self.origins.values():
            await origins.close()


@pytest.fixture
async def nodes():
    made = Nodes()
    yield made
    await made.close()


async def tell(nodes, attempt, origin=OLD):
    name = nodes.list_others(attempt)[0]
    nodes.origins[name].tell(attempt, origin)
    await nodes.timers.settle()
    return name


async def test_each_node_finds_the_origin(nodes):
    await tell(nodes, 'a')
    for origins in nodes.origins.values():
        assert await origins.find('a') == OLD


async def test_origin_outlives_the_node_and_one_home(nodes):
    name = await tell(nodes, 'a')
    home, _ = nodes.list_homes('a')
    nodes.origins.pop(name)
    nodes.origins.pop(home)
    for origins in nodes.origins.values():
        assert await origins.find('a') == OLD


async def test_home_that_started_again_does_not_hide_the_origin(nodes):
    await tell(nodes, 'a')
    nodes.start(nodes.list_homes('a')[0])
    asking = nodes.origins[nodes.list_others('a')[1]]
    assert await asking.find('a') == OLD


async def test_origin_that_nobody_knows_is_not_guessed(nodes):
    await tell(nodes, 'a')
    for origins in nodes.origins.values():
        assert await origins.find('b') is None
        assert await origins.find('') is None


async def test_first_origin_of_an_attempt_stays(nodes):
    await tell(nodes, 'a')
    home = nodes.origins[nodes.list_homes('a')[0]]
    assert home.receive(OriginMessage('a', NEW)).origin == OLD


async def test_origins_are_bounded_in_time_and_number(nodes):
    origins = nodes.origins['node-0']
    for number in range(10_500):
        origins.receive(OriginMessage(str(number), OLD))
    assert origins.receive(OriginMessage('0')).origin is None
    assert origins.receive(OriginMessage('10499')).origin == OLD
    await nodes.timers.advance(121)
    assert origins.receive(OriginMessage('10499')).origin is None


async def test_long_ids_are_not_remembered(nodes):
    origins = nodes.origins['node-0']
    assert origins.receive(OriginMessage(16_000 * 'x', OLD)).origin is None
