import asyncio

import pytest

from ladder_clients.table import Transaction, Write
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.members import Member
from ladder_node.stream_origins import (
    OriginJournal,
    OriginMessage,
    OriginSender,
    StreamOrigin,
    StreamOrigins,
)
from ladder_node.stream_origins.rows import ORIGINS_PART, ORIGINS_TABLE
from ladder_standins.memory_table import MemoryTable, TableFault

OLD = StreamOrigin('app', 'old')
NEW = StreamOrigin('app', 'new')


class Nodes(OriginSender):
    """Nodes that reach each other unless they are gone."""

    def __init__(self, count=6):
        self.timers = ManualTimerService()
        self.table = MemoryTable(self.timers)
        self.leaving: set[str] = set()
        self.origins = {}
        for number in range(count):
            self.start(f'node-{number}')

    def start(self, name):
        self.origins[name] = StreamOrigins(
            name, self.list_members, self, self.make_journal(), self.timers
        )

    def make_journal(self):
        timeline = Timeline('a', HybridClock(self.timers))
        return OriginJournal(self.table, lambda: 1, self.timers, timeline)

    def list_members(self):
        return [
            Member(
                name,
                '',
                '',
                '',
                '',
                is_leaving=name in self.leaving,
                peer_address=name,
            )
            for name in self.origins
        ]

    async def send(self, address, message):
        await asyncio.sleep(0)
        receiver = self.origins.get(address)
        return receiver.receive(message) if receiver else None

    def list_homes(self, attempt):
        outsider = StreamOrigins(
            'none', self.list_members, self, self.make_journal(), self.timers
        )
        return [home.name for home in outsider._list_homes(attempt)]

    def list_others(self, attempt):
        return sorted(set(self.origins) - set(self.list_homes(attempt)))

    async def list_rows(self):
        rows = await self.table.scan_partition(ORIGINS_TABLE, ORIGINS_PART)
        return [row.key for row in rows]

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


async def write_rows(nodes):
    """Run the writes of all nodes once, as their intervals do."""
    for origins in nodes.origins.values():
        await origins._journal._write_some()


async def test_origin_outlives_all_nodes_at_once(nodes):
    """Guards against streams that no node goes on with after a restart."""
    await tell(nodes, 'a')
    await write_rows(nodes)
    for name in tuple(nodes.origins):
        nodes.start(name)
    for origins in nodes.origins.values():
        assert await origins.find('a') == OLD


async def test_node_that_leaves_is_asked(nodes):
    """Guards against origins that only stopping nodes know."""
    name = await tell(nodes, 'a')
    homes = nodes.list_homes('a')
    nodes.leaving.update(homes)
    nodes.origins.pop(name)
    asking = min(set(nodes.origins).difference(homes))
    assert await nodes.origins[asking].find('a') == OLD


async def test_whole_streams_leave_no_rows(nodes):
    """Guards against a table that grows with every stream."""
    name = await tell(nodes, 'short')
    nodes.origins[name].end('short')
    await write_rows(nodes)
    assert not await nodes.list_rows()
    name = await tell(nodes, 'long')
    await write_rows(nodes)
    assert await nodes.list_rows() == ['long']
    nodes.origins[name].end('long')
    await write_rows(nodes)
    assert not await nodes.list_rows()


@pytest.mark.parametrize('fault', [TableFault.down, TableFault.lost_answer])
async def test_rows_are_written_when_the_table_is_back(nodes, fault):
    await tell(nodes, 'a')
    nodes.table.default_fault = fault
    await write_rows(nodes)
    nodes.table.default_fault = TableFault.none
    await write_rows(nodes)
    assert await nodes.list_rows() == ['a']


async def test_origin_is_not_guessed_while_the_table_is_away(nodes):
    await tell(nodes, 'a')
    await write_rows(nodes)
    for name in tuple(nodes.origins):
        nodes.start(name)
    nodes.table.default_fault = TableFault.down
    assert await nodes.origins['node-0'].find('a') is None


async def test_malformed_row_names_no_origin(nodes):
    nodes.table.apply(
        Transaction('t', (), (Write(ORIGINS_TABLE, 'a', '[]', ORIGINS_PART),))
    )
    assert await nodes.origins['node-0'].find('a') is None


async def test_rows_of_lost_nodes_are_removed(nodes):
    """Guards against rows that stay for good since their node has ended."""
    await tell(nodes, 'a')
    await write_rows(nodes)
    for name in tuple(nodes.origins):
        nodes.start(name)
    journal = nodes.origins['node-0']._journal
    await journal.clean()
    await journal._write_some()
    assert await nodes.list_rows() == ['a']
    await nodes.timers.advance(121)
    await journal.clean()
    await journal._write_some()
    assert not await nodes.list_rows()


async def test_last_streams_are_written_at_the_close(nodes):
    name = await tell(nodes, 'a')
    await nodes.origins[name].close()
    assert await nodes.list_rows() == ['a']
