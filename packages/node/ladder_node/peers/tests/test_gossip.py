import pytest

from ladder_core.timeline import HybridTime
from ladder_core.timers import ManualTimerService
from ladder_core.values import Lists
from ladder_node.peers import Fact, FactKind
from ladder_node.peers.tests.fakes import FakeNode, make_members, run_nodes

SUSPECT = Fact(FactKind.suspect, 'fingerprint', 60, b'body')


@pytest.fixture
def timers():
    return ManualTimerService(start=1000)


def list_holders(nodes, kind=FactKind.suspect):
    return {
        name for name, node in nodes.items() if node.gossip.list_facts(kind)
    }


async def test_fact_reaches_every_node_and_its_subscribers(timers):
    async with run_nodes(timers, make_members(3, 4)) as (_, nodes):
        await timers.advance(2)
        seen: list[Fact] = []
        nodes['node-2-3'].gossip.subscribe(FactKind.suspect, seen.append)
        nodes['node-0-0'].gossip.publish(SUSPECT)
        await timers.advance(2)
        assert list_holders(nodes) == set(nodes)
        assert [fact.body for fact in seen] == [b'body']
        assert seen[0].origin == 'node-0-0'


async def test_fact_of_a_data_centre_stays_in_it(timers):
    fact = Fact('load', 'one', 60, is_lasting=False, is_fleet_wide=False)
    async with run_nodes(timers, make_members(2, 3)) as (_, nodes):
        await timers.advance(2)
        nodes['node-0-0'].gossip.publish(fact)
        await timers.advance(5)
        near = {name for name in nodes if name.startswith('node-0')}
        assert list_holders(nodes, 'load') == near


async def test_lost_fact_is_found_by_the_digest(timers):
    async with run_nodes(timers, make_members(1, 2)) as (network, nodes):
        await timers.advance(2)
        pairs = {('10.0.0.0:1', '10.0.0.1:1'), ('10.0.0.1:1', '10.0.0.0:1')}
        network.cut |= pairs
        nodes['node-0-0'].gossip.publish(SUSPECT)
        await timers.advance(1)
        network.cut.clear()
        assert list_holders(nodes) == {'node-0-0'}
        await timers.advance(4)
        assert list_holders(nodes) == set(nodes)


async def test_new_node_gets_all_facts(timers):
    members = make_members(1, 3)
    async with run_nodes(timers, members) as (network, nodes):
        for index in range(50):
            fact = Fact(FactKind.suspect, f'{index}', 60)
            nodes['node-0-0'].gossip.publish(fact)
        await timers.advance(2)
        member = make_members(1, 4)[3]
        newcomer = FakeNode(network, member, members, timers)
        newcomer.source.lists = None
        await newcomer.gossip.start()
        await timers.advance(4)
        facts = newcomer.gossip.list_facts(FactKind.suspect)
        assert len(facts) == 50
        assert newcomer.source.lists == Lists(revision=1)
        await newcomer.gossip.close()


async def test_fact_is_removed_everywhere_when_it_expires(timers):
    async with run_nodes(timers, make_members(2, 3)) as (_, nodes):
        nodes['node-0-0'].gossip.publish(SUSPECT)
        await timers.advance(55)
        assert list_holders(nodes) == set(nodes)
        await timers.advance(6)
        assert not list_holders(nodes)
        await timers.advance(10)
        assert not list_holders(nodes)


async def test_silent_connection_is_replaced(timers):
    async with run_nodes(timers, make_members(1, 2)) as (network, nodes):
        await timers.advance(2)
        for channel in tuple(network.opened):
            network.silent |= {channel, channel.remote_end}
        nodes['node-0-0'].gossip.publish(SUSPECT)
        await timers.advance(3)
        assert list_holders(nodes) == {'node-0-0'}
        await timers.advance(5)
        assert list_holders(nodes) == set(nodes)
        events = nodes['node-0-0'].timeline.read(HybridTime(), 100)
        assert 'peer-silent' in {event.kind for event in events}


async def test_lists_spread_without_the_store(timers):
    async with run_nodes(timers, make_members(3, 4)) as (_, nodes):
        await timers.advance(2)
        nodes['node-1-1'].source.offer(Lists(revision=2, author='ada'))
        await timers.advance(5)
        revisions = {node.source.lists.revision for node in nodes.values()}
        assert revisions == {2}


async def test_next_revision_does_not_wait_for_a_heartbeat(timers):
    async with run_nodes(timers, make_members(1, 2)) as (_, nodes):
        await timers.advance(2)
        for revision in (2, 3):
            nodes['node-0-0'].source.offer(Lists(revision=revision))
            await timers.advance(0.2)
        assert nodes['node-0-1'].source.lists.revision == 3


async def test_events_after_a_fact_are_stamped_after_it(timers):
    async with run_nodes(timers, make_members(1, 2)) as (_, nodes):
        first, second = nodes.values()
        first.timeline.clock.observe(HybridTime(9_999_999_999, 0))
        first.timeline.record('cause', 'one')
        first.gossip.publish(SUSPECT)
        await timers.advance(2)
        second.timeline.record('effect', 'one')
        cause = first.timeline.read(HybridTime(), 1)[0]
        effect = second.timeline.read(HybridTime(), 100)[-1]
        assert cause.stamp < effect.stamp


async def test_messages_of_a_node_do_not_grow_with_the_fleet(timers):
    rates = []
    for nodes_per_data_centre in (3, 12):
        members = make_members(3, nodes_per_data_centre)
        async with run_nodes(timers, members) as (network, _):
            await timers.advance(3)
            network.frames.clear()
            await timers.advance(10)
            rates.append(sum(network.frames.values()) / len(members) / 10)
    # A node has at most seven chosen peers and on average as many peers that
    # chose it, with one heartbeat a second to each.
    assert max(rates) <= 14
