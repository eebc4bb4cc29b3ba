"""
Patterns of hosts with few requests, which share the connections of a gateway.

Guards against a connection of each host to each replica; against requests that
fail, run twice or wait since a gateway is down, full, silent or cut off; and
against requests to a replica that told the gateway that it leaves.
"""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    Timeouts,
)
from ladder_clients.replicas import ExchangeTerms
from ladder_core.errors import NodeLeavingError
from ladder_core.timers import SystemTimerService
from ladder_node.members import Member
from ladder_node.replica_paths import GatewayDirectory, ReplicaPaths
from ladder_node.replica_relay import (
    Gateways,
    ReplicaObserver,
    ReplicaRelay,
    RoutedExchanges,
)
from ladder_node.replica_relay.client import RelayLostError
from ladder_node.replica_relay.tests.test_relay import Harness
from ladder_standins.fleet.ports import find_free_ports
from ladder_standins.scripted import ScriptedTarget, format_response

GET = OutgoingRequest(b'GET', b'/kegs', ((b'Host', b'pub'),), b'asked')
TIMEOUTS = Timeouts(1, 1)
TERMS = ExchangeTerms('id-1', uses_gateway=True)
HOSTS = 12


class Observer(ReplicaObserver):
    """What the gateway knows of a replica."""

    def __init__(self):
        self.leaving = False
        self.limited = False

    def record_response(self, replica, response):
        self.leaving = response.find_header(b'leaving') == '1'

    def is_leaving(self, replica):
        return self.leaving

    def is_limited(self, replica):
        return self.limited


class Host:
    """A host whose gateways are the nodes of a fleet."""

    def __init__(self, fleet, name):
        timers = SystemTimerService()
        self.pool = ConnectionPool(timers)
        self.peer_pool = ConnectionPool(timers)
        own = Member(name, '', 'leith', 'lowlands', '', is_gateway=True)
        self.directory = GatewayDirectory(own, lambda: fleet.members, timers)
        relay = ReplicaRelay(
            self.peer_pool, self.directory, fleet.harness.timeline, max_nodes=1
        )
        self.exchanges = RoutedExchanges(
            self.pool,
            fleet.harness.relay,
            cast(ReplicaPaths, SimpleNamespace(is_lost=lambda service: False)),
            Gateways(self.directory, relay, timers),
        )

    async def fetch(self, replica, request=GET, terms=TERMS):
        async with self.exchanges.exchange(
            replica, request, TIMEOUTS, terms
        ) as response:
            return response.status, await response.read()

    async def close(self):
        await self.pool.close()
        await self.peer_pool.close()


class Fleet:
    """Hosts of one data centre, one of them a gateway."""

    def __init__(self, harness):
        self.harness = harness
        self.members = []
        self.hosts = []
        self.observer = Observer()

    @property
    def target(self):
        return self.harness.target

    @property
    def gateway(self):
        return self.harness.peers[0]

    @property
    def replica(self):
        return self.harness.replica

    def add_members(self, address):
        """Let hosts with much capacity, at an address, be the gateways."""
        self.members = [
            self.make_member(number, address) for number in range(HOSTS)
        ]

    def make_member(self, number, address):
        return Member(
            f'leith-{number}',
            '',
            'leith',
            'lowlands',
            '',
            peer_address=address,
            capacity=1e9 if number < 2 else 1,
            is_gateway=True,
        )

    def add_host(self, number):
        host = Host(self, f'leith-{number}')
        self.hosts.append(host)
        return host

    async def fetch_by_all(self):
        hosts = [self.add_host(number) for number in range(2, HOSTS)]
        return [await host.fetch(self.replica) for host in hosts]


@pytest.fixture
async def fleet():
    harness = Harness()
    await harness.target.start()
    made = Fleet(harness)
    peer = await harness.add_peer(harness.replica, observer=made.observer)
    made.add_members(peer.address)
    yield made
    for host in made.hosts:
        await host.close()
    await harness.pool.close()
    for peer in harness.peers:
        await peer.close()
    await harness.target.close()


async def test_hosts_share_one_connection_to_a_replica(fleet):
    answers = await fleet.fetch_by_all()
    assert set(answers) == {(200, b'whole')}
    assert fleet.target.connections == 1


async def test_requests_that_run_once_use_a_connection_of_the_host(fleet):
    host = fleet.add_host(5)
    terms = ExchangeTerms('id-1', runs_once=True, uses_gateway=True)
    await host.fetch(fleet.replica, terms=terms)
    assert not fleet.harness.list_outcomes()


async def test_host_uses_the_idle_connection_that_it_has(fleet):
    host = fleet.add_host(5)
    await host.pool.probe(fleet.target.address, 0.5)
    await host.fetch(fleet.replica)
    assert not fleet.harness.list_outcomes()
    assert fleet.target.connections == 1


async def test_large_bodies_are_not_sent_twice(fleet):
    host = fleet.add_host(5)
    request = OutgoingRequest(
        b'POST', b'/kegs', ((b'Host', b'pub'),), b'x' * 100_000
    )
    await host.fetch(fleet.replica, request)
    assert not fleet.harness.list_outcomes()


async def test_request_goes_directly_if_the_gateway_is_down(fleet):
    fleet.add_members(f'127.0.0.1:{find_free_ports(1)[0]}')
    assert (await fleet.fetch_by_all())[0] == (200, b'whole')
    assert set(fleet.harness.list_outcomes()) == {'unable'}


async def test_request_goes_directly_if_the_gateway_dies_meanwhile(fleet):
    async def drop(request, writer):
        writer.transport.abort()

    dying = ScriptedTarget(drop)
    await dying.start()
    fleet.add_members(dying.address)
    host = fleet.add_host(5)
    assert await host.fetch(fleet.replica) == (200, b'whole')
    assert len(fleet.target.received) == 1
    await dying.close()


async def test_request_is_not_sent_again_as_it_is_after_a_long_wait(fleet):
    """Guards against replicas that are handed more time than is left."""

    async def drop_late(request, writer):
        await asyncio.sleep(0.4)
        writer.transport.abort()

    dying = ScriptedTarget(drop_late)
    await dying.start()
    fleet.add_members(dying.address)
    with pytest.raises(RelayLostError):
        await fleet.add_host(5).fetch(fleet.replica)
    assert not fleet.target.received
    await dying.close()


async def test_gateway_that_stops_takes_no_request(fleet):
    fleet.gateway.drain.require_time = _refuse
    host = fleet.add_host(5)
    assert await host.fetch(fleet.replica) == (200, b'whole')
    assert fleet.target.connections == 1


async def test_silent_gateway_delays_one_request_of_a_host(fleet):
    """Guards against request after request that waits for a frozen host."""

    async def stay_silent(request, writer):
        await asyncio.sleep(9)

    frozen = ScriptedTarget(stay_silent)
    await frozen.start()
    fleet.add_members(frozen.address)
    host = fleet.add_host(5)
    for _ in range(2):
        # The caller of a request gives up, or sends it elsewhere.
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(host.fetch(fleet.replica), 0.1)
    assert await host.fetch(fleet.replica) == (200, b'whole')
    await frozen.close()


async def test_replica_that_told_the_gateway_that_it_leaves_gets_nothing(fleet):
    """Guards against requests of hosts that don't know it yet."""

    async def answer_leaving(request, writer):
        fields = {'Echo': 'id-1', 'Leaving': '1'}
        writer.write(format_response(b'whole', fields))
        await writer.drain()

    fleet.target.script = answer_leaving
    await fleet.add_host(5).fetch(fleet.replica)
    before = len(fleet.target.received)
    await fleet.add_host(6).fetch(fleet.replica)
    assert fleet.harness.list_outcomes()[-1] == 'not_sent'
    # The other host is not the gateway, and has not been told.
    assert len(fleet.target.received) == before + 1


async def test_limited_replica_gets_requests_from_the_hosts_themselves(fleet):
    fleet.observer.limited = True
    await fleet.add_host(5).fetch(fleet.replica)
    assert fleet.harness.list_outcomes() == ['unable']


async def test_hosts_of_older_builds_are_no_gateways(fleet):
    fleet.members = [
        Member(
            member.name,
            '',
            'leith',
            'lowlands',
            '',
            peer_address=member.peer_address,
        )
        for member in fleet.members
    ]
    await fleet.add_host(5).fetch(fleet.replica)
    assert not fleet.harness.list_outcomes()


def _refuse(seconds):
    raise NodeLeavingError('stops', remedy='send it elsewhere')
