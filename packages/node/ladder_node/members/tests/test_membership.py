from types import SimpleNamespace

import pytest

from ladder_clients.table import (
    StoreOutcomeUnknownError,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.members import Member, Membership, choose_addresses
from ladder_node.members.rows import MEMBERS_PART, MEMBERS_TABLE
from ladder_standins.memory_table import MemoryTable, TableFault

SILENT_CALL_SECONDS = 2


class SlowTable(MemoryTable):
    """A table whose calls can be slow, or time out while it is silent."""

    def __init__(self, timers):
        super().__init__(timers)
        self.wait = None
        self.wait_to_read = None
        self.is_silent = False

    async def scan_partition(self, *arguments, **options):
        if self.is_silent:
            await self.timers.sleep(SILENT_CALL_SECONDS)
            raise StoreUnavailableError('silent', remedy='wait', retry_after=1)
        if self.wait_to_read is not None:
            await self.wait_to_read()
        return await super().scan_partition(*arguments, **options)

    async def commit(self, transaction):
        if self.is_silent:
            await self.timers.sleep(SILENT_CALL_SECONDS)
            raise StoreOutcomeUnknownError('silent', remedy='read back')
        if self.wait is not None:
            await self.wait()
        return await super().commit(transaction)


class Fleet:
    def __init__(self, *names):
        self.timers = ManualTimerService()
        self.table = SlowTable(self.timers)
        self.nodes = {name: self.make(name) for name in names}

    def make(self, name):
        member = Member(name, f'{name}:1', 'leith', 'lowlands', '')
        timeline = Timeline(name, HybridClock(self.timers))
        return Membership(self.table, member, self.timers, timeline)

    async def start(self):
        for node in self.nodes.values():
            await node.start()
        await self.timers.advance(2)

    async def close(self):
        for node in self.nodes.values():
            await node.close()

    def seen_by(self, name):
        return sorted(one.name for one in self.nodes[name].list_accepting())


@pytest.fixture
async def fleet():
    made = Fleet('a', 'b', 'c')
    await made.start()
    yield made
    await made.close()


async def test_nodes_find_each_other_in_the_table(fleet):
    assert fleet.seen_by('a') == ['a', 'b', 'c']


@pytest.mark.parametrize(
    'body',
    [
        'no JSON',
        f'{"[" * 200_000}{"]" * 200_000}',
        '{"name":"x","address":"x:99999","data_centre":"leith",'
        '"region":"lowlands","incarnation":""}',
    ],
)
async def test_row_of_another_writer_hides_no_node(fleet, body):
    """Guards against nodes that no longer see each other."""
    write = Write(MEMBERS_TABLE, 'x', body, MEMBERS_PART)
    await fleet.table.commit(Transaction('t', (), (write,)))
    await fleet.timers.advance(2)
    fleet.nodes['d'] = fleet.make('d')
    await fleet.nodes['d'].start()
    await fleet.timers.advance(2)
    assert fleet.seen_by('a') == ['a', 'b', 'c', 'd']


@pytest.mark.parametrize('capacity', [0, -1])
async def test_row_without_a_capacity_is_no_node(fleet, capacity):
    """Guards against requests that fail as nodes are drawn by capacity."""
    body = (
        '{"name":"x","address":"x:9","data_centre":"leith",'
        f'"region":"lowlands","incarnation":"","capacity":{capacity}}}'
    )
    write = Write(MEMBERS_TABLE, 'x', body, MEMBERS_PART)
    await fleet.table.commit(Transaction('t', (), (write,)))
    await fleet.timers.advance(1)
    assert fleet.seen_by('a') == ['a', 'b', 'c']


async def test_killed_node_is_left_out_within_four_seconds(fleet):
    await fleet.nodes['b'].close()
    await fleet.timers.advance(4)
    assert fleet.seen_by('a') == ['a', 'c']


async def test_leaving_node_is_left_out_at_the_next_read(fleet):
    await fleet.nodes['b'].leave()
    await fleet.timers.advance(1)
    assert fleet.seen_by('a') == ['a', 'c']
    assert fleet.seen_by('b') == ['a', 'c']


async def test_node_without_a_path_is_left_out_and_comes_back(fleet):
    """Guards against callers who are directed to hosts without paths."""
    fleet.nodes['b'].publish_lost_services(('taproom',))
    await fleet.timers.advance(2)
    for name in fleet.nodes:
        assert fleet.seen_by(name) == ['a', 'c']
    fleet.nodes['b'].publish_lost_services(())
    await fleet.timers.advance(2)
    for name in fleet.nodes:
        assert fleet.seen_by(name) == ['a', 'b', 'c']


async def test_path_that_is_lost_during_a_heartbeat_is_published(
    fleet, monkeypatch
):
    """Guards against a loss that waits for a whole pause between heartbeats."""
    node = fleet.nodes['b']

    async def commit_late(transaction):
        node.publish_lost_services(('taproom',))
        await fleet.timers.sleep(0.5)
        return await fleet.table.commit(transaction)

    # A slow table makes the node write each six seconds.
    node._pause_seconds = 6
    node._next_heartbeat_at = 0
    monkeypatch.setattr(
        node,
        '_table',
        SimpleNamespace(
            commit=commit_late,
            scan_partition=fleet.table.scan_partition,
            estimate_clock=fleet.table.estimate_clock,
        ),
    )
    await fleet.timers.advance(3)
    assert fleet.seen_by('a') == ['a', 'c']


async def test_nodes_without_paths_stay_if_no_other_is_left(fleet):
    for node in fleet.nodes.values():
        node.publish_lost_services(('taproom',))
    await fleet.timers.advance(2)
    assert fleet.seen_by('a') == ['a', 'b', 'c']


async def test_outage_of_the_table_takes_no_node_out(fleet):
    fleet.table.default_fault = TableFault.down
    await fleet.timers.advance(30)
    assert fleet.seen_by('a') == ['b', 'c']
    fleet.table.default_fault = TableFault.none
    await fleet.timers.advance(1)
    assert fleet.seen_by('a') == ['a', 'b', 'c']


async def test_slow_table_makes_no_node_look_gone():
    """
    Slow writes lengthen the pauses between heartbeats.

    If other nodes don't allow for that, they take live nodes for failed. With
    writes of several seconds, a node once took all others for failed.
    """
    fleet = Fleet('a', 'b')
    await fleet.start()
    fleet.table.wait = lambda: fleet.timers.sleep(1.2)
    for _ in range(100):
        await fleet.timers.advance(0.2)
        assert fleet.seen_by('a') == ['a', 'b']
    await fleet.close()


# Guards against live nodes that all others took for failed, for some seconds
# after the table had been silent. A node had lengthened the pause between its
# heartbeats, but could not publish the longer pause.
@pytest.mark.parametrize('silent_seconds', [2, 3, 5, 8, 13, 30])
async def test_silent_table_makes_no_node_look_gone(silent_seconds):
    fleet = Fleet('a', 'b', 'c', 'd', 'e')
    for node in fleet.nodes.values():
        await node.start()
        await fleet.timers.advance(0.37)
    await fleet.timers.advance(2)
    fleet.table.is_silent = True
    await fleet.timers.advance(silent_seconds)
    fleet.table.is_silent = False
    for _ in range(60):
        await fleet.timers.advance(0.2)
        for node in fleet.nodes.values():
            assert len(node.list_alive()) == 5
    await fleet.close()


async def test_node_that_died_in_a_silence_is_left_out_soon_after_it():
    fleet = Fleet('a', 'b', 'c')
    await fleet.start()
    fleet.table.is_silent = True
    await fleet.timers.advance(5)
    await fleet.nodes['b'].close()
    await fleet.timers.advance(5)
    fleet.table.is_silent = False
    await fleet.timers.advance(9)
    assert fleet.seen_by('a') == ['a', 'c']
    await fleet.close()


# Guards against callers who were directed to a host that was gone for long, by
# nodes that had just started again and took its last row for a sign of life.
async def test_new_process_leaves_out_a_node_that_is_long_gone(fleet):
    await fleet.nodes['b'].close()
    await fleet.timers.advance(20)
    for name in ('a', 'c'):
        await fleet.nodes[name].close()
        fleet.nodes[name] = fleet.make(name)
        await fleet.nodes[name].start()
    await fleet.timers.advance(0.9)
    assert fleet.seen_by('a') == ['a', 'c']


async def test_new_process_takes_no_node_for_gone_after_an_outage(fleet):
    await fleet.nodes['c'].close()
    fleet.table.default_fault = TableFault.down
    await fleet.timers.advance(30)
    fleet.table.default_fault = TableFault.none
    late = fleet.make('c')
    fleet.nodes['c'] = late
    await late.start()
    await fleet.timers.advance(1)
    assert fleet.seen_by('c') == ['a', 'b', 'c']


async def test_outage_brings_no_gone_node_back(fleet):
    await fleet.nodes['b'].close()
    await fleet.timers.advance(5)
    fleet.table.default_fault = TableFault.down
    await fleet.timers.advance(5)
    fleet.table.default_fault = TableFault.none
    for _ in range(30):
        await fleet.timers.advance(0.2)
        assert 'b' not in fleet.seen_by('a')


async def test_node_that_cannot_write_names_itself_if_it_is_alone():
    fleet = Fleet('a')
    fleet.table.default_fault = TableFault.down
    await fleet.start()
    assert fleet.seen_by('a') == ['a']
    await fleet.close()


async def test_row_of_a_host_that_is_gone_is_removed(fleet):
    await fleet.nodes['b'].close()
    await fleet.timers.advance(125)
    rows = fleet.table.rows.scan('members', part='members')
    assert [row.key for row in rows] == ['a', 'c']


async def test_slow_table_gets_fewer_writes():
    fleet = Fleet('a')
    node = fleet.nodes['a']
    fleet.table.wait = lambda: fleet.timers.sleep(1)
    await fleet.start()
    await fleet.timers.advance(18)
    await fleet.close()
    assert 0 < node.own.beats <= 6


async def test_nodes_are_read_soon_after_a_read_that_took_long():
    fleet = Fleet('a')
    await fleet.start()
    fleet.table.wait_to_read = lambda: fleet.timers.sleep(10)
    await fleet.timers.advance(1)
    fleet.table.wait_to_read = None
    await fleet.timers.advance(10)
    late = fleet.make('b')
    await late.start()
    await fleet.timers.advance(9)
    assert fleet.seen_by('a') == ['a', 'b']
    await late.close()
    await fleet.close()


def test_callers_get_the_nearest_nodes_in_a_stable_order():
    members = [
        Member(f'{centre}-{number}', f'{centre}:{number}', centre, region, '')
        for centre, region in (
            ('leith', 'lowlands'),
            ('govan', 'lowlands'),
            ('inverness', 'highlands'),
        )
        for number in range(3)
    ]
    chosen = choose_addresses(members, 'govan', 'lowlands', 2)
    assert all(address.startswith('govan') for address in chosen)
    others = [one for one in members if one.address != chosen[0]]
    assert choose_addresses(others, 'govan', 'lowlands', 1) == [chosen[1]]
    near = choose_addresses(members, 'govan', 'lowlands', 6)
    assert {address[:5] for address in near} == {'govan', 'leith'}
