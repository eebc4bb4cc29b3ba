import asyncio
import dataclasses

import pytest

from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind, HostState
from ladder_node.peers import (
    LeavingTargets,
    NodeDirectory,
    PauseGuard,
)
from ladder_node.peers.messages import Push, Sender, encode
from ladder_node.peers.tests.fakes import FakeNode, make_members, run_nodes
from ladder_node.targets import TargetTable

ENGINE = HostEntry('engine', HostKind.engine, '10.1.1.1:1', 'dc-0', 'region-0')


class PausableTimers(ManualTimerService):
    """A clock that can advance without running any task."""

    def pause(self, seconds):
        self._now += seconds


@pytest.fixture
def timers():
    return PausableTimers(start=1000)


def make_table(node, timers):
    table = TargetTable(timers, node.timeline)
    table.update_hosts([ENGINE])
    return table


async def start_leaving_targets(nodes, timers):
    tables = {}
    for name, node in nodes.items():
        tables[name] = make_table(node, timers)
        await LeavingTargets(tables[name], node.gossip, timers).start()
    return tables


def list_nodes_that_offer(tables):
    return {
        name
        for name, table in tables.items()
        if table.list_available(HostKind.engine)
    }


async def test_leaving_target_is_offered_nowhere_while_the_list_lags(timers):
    async with run_nodes(timers, make_members(3, 3)) as (_, nodes):
        tables = await start_leaving_targets(nodes, timers)
        await timers.advance(2)
        tables['node-1-1'].mark_leaving('engine')
        await timers.advance(3)
        for table in tables.values():
            table.update_hosts([ENGINE])
        assert not list_nodes_that_offer(tables)


async def test_target_that_is_listed_late_is_marked_as_leaving(timers):
    async with run_nodes(timers, make_members(1, 2)) as (_, nodes):
        tables = await start_leaving_targets(nodes, timers)
        tables['node-0-0'].update_hosts([])
        tables['node-0-1'].mark_leaving('engine')
        await timers.advance(3)
        tables['node-0-0'].update_hosts([ENGINE])
        await timers.advance(1)
        assert not list_nodes_that_offer(tables)


async def test_target_replaced_under_its_name_gets_work(timers):
    async with run_nodes(timers, make_members(1, 2)) as (_, nodes):
        tables = await start_leaving_targets(nodes, timers)
        tables['node-0-1'].mark_leaving('engine')
        await timers.advance(3)
        replaced = dataclasses.replace(ENGINE, address='10.1.1.2:1')
        for table in tables.values():
            table.update_hosts([replaced])
        await timers.advance(2)
        assert list_nodes_that_offer(tables) == set(tables)


async def test_paused_node_offers_nothing_until_it_has_asked_a_peer(timers):
    async with run_nodes(timers, make_members(1, 3)) as (_, nodes):
        tables = await start_leaving_targets(nodes, timers)
        await timers.advance(2)
        node = nodes['node-0-0']
        guard = PauseGuard(
            (lambda: node.gossip.refresh(1),),
            timers,
            node.timeline,
        )
        table = tables['node-0-0']
        table.set_staleness_check(lambda: guard.is_stale, guard.ensure_fresh)
        await guard.start()
        await timers.advance(1)
        assert table.list_available(HostKind.engine)
        tables['node-0-1'].mark_leaving('engine')
        # The fact waits in the connections of the paused node.
        timers.pause(60)
        assert not table.list_available(HostKind.engine)
        waiting = asyncio.create_task(table.ensure_fresh())
        await timers.advance(3)
        assert waiting.done()
        assert not guard.is_stale
        assert not table.list_available(HostKind.engine)
        events = node.timeline.read(HybridTime(), 100)
        assert 'process-paused' in {event.kind for event in events}
        await guard.close()


async def test_guard_waits_for_all_refreshes(timers):
    done = []

    async def read_slowly():
        await timers.sleep(1)
        done.append('read')

    timeline = Timeline('node', HybridClock(timers))
    guard = PauseGuard((read_slowly,), timers, timeline)
    await guard.start()
    timers.pause(10)
    assert guard.is_stale
    await timers.advance(2)
    assert done == ['read']
    assert not guard.is_stale
    await guard.close()


async def test_frames_that_waited_through_a_pause_confirm_nothing(timers):
    async with run_nodes(timers, make_members(1, 2)) as (network, nodes):
        await timers.advance(2)
        confirmed = nodes['node-0-0'].source.confirmed
        frames = [
            channel
            for opened in network.opened
            for channel in (opened, opened.remote_end)
            if channel.source_address == '10.0.0.1:1'
        ]
        heard = len(confirmed)
        sender = Sender('node-0-1', 'dc-0', HybridTime())
        for channel in frames:
            channel.send(encode(Push(sender, 1, 0)))
        await timers.settle()
        assert len(confirmed) == heard + len(frames)
        for channel in frames:
            channel.send(encode(Push(sender, 1, 0)))
        timers.pause(60)
        await timers.settle()
        assert len(confirmed) == heard + len(frames)


def list_entries(members):
    return tuple(
        HostEntry(
            member.name,
            HostKind.entry,
            f'{member.address}00',
            member.data_centre,
            member.region,
            HostState.live,
            peer_address=member.address,
        )
        for member in members
    )


async def start_directory(node, timers):
    entries = list_entries(make_members(1, 3))
    directory = NodeDirectory(
        node.member,
        lambda: entries,
        timers,
        node.timeline,
    )
    directory.attach(node.gossip, int)
    await directory.start()
    return directory


async def test_leaving_node_is_in_no_address_answer_and_comes_back(timers):
    members = make_members(1, 3)
    async with run_nodes(timers, members) as (network, nodes):
        directories = {
            name: await start_directory(node, timers)
            for name, node in nodes.items()
        }
        await timers.advance(2)
        directories['node-0-1'].leave()
        await timers.advance(2)
        for directory in directories.values():
            names = {entry.name for entry in directory.entry_hosts}
            assert names == {'node-0-0', 'node-0-2'}
        # Started again under the same name, the node gets the fact that it is
        # leaving, and replaces it.
        await directories.pop('node-0-1').close()
        await nodes['node-0-1'].gossip.close()
        back = FakeNode(network, members[1], members, timers)
        await back.gossip.start()
        directories['back'] = await start_directory(back, timers)
        await timers.advance(20)
        for directory in directories.values():
            assert len(directory.entry_hosts) == 3
            await directory.close()
        await back.gossip.close()
