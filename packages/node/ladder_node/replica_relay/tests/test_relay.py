"""
Guards against requests that change their meaning on the way through a node.

Whether a request has run, whether a body is whole, and whether its caller still
waits must be as true as over a direct connection.
"""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest
from starlette.applications import Starlette
from starlette.routing import Route as HttpRoute

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    SilentConnectionError,
    Timeouts,
    TransportBrokenError,
    TransportError,
    UnreachableError,
)
from ladder_clients.replicas import ExchangeTerms
from ladder_core.errors import OverloadedError, TargetLimitedError
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import SystemTimerService
from ladder_core.values import Replica
from ladder_node.replica_paths import RelayDirectory, ReplicaPaths
from ladder_node.replica_relay import (
    REPLICA_RELAY_PATH,
    ReplicaRelay,
    ReplicaRelayApp,
)
from ladder_node.replicas import ReplicaRegistry
from ladder_node.serving import Drain, EntryServer
from ladder_policy.routing import RelayCandidate
from ladder_standins.fleet.ports import find_free_ports
from ladder_standins.scripted import ScriptedTarget, format_response

GET = OutgoingRequest(b'GET', b'/kegs', ((b'Host', b'pub'),), b'asked')
TIMEOUTS = Timeouts(1, 1)
TERMS = ExchangeTerms('id-1')


async def answer(request, writer):
    writer.write(format_response(b'whole', {'Echo': 'id-1'}))
    await writer.drain()


class Peer:
    """A node that relays requests to the replica that it reaches."""

    def __init__(self, replica, capacity=1, observer=None):
        timers = SystemTimerService()
        timeline = Timeline('peer', HybridClock(timers))
        self.registry = ReplicaRegistry(timers, timeline)
        self.drain = Drain(lambda: None, 0, timers, timeline, 0)
        if replica is not None:
            self.registry.replace([replica], 0)
        self.lost: set[str] = set()
        self.pool = ConnectionPool(timers)
        app = ReplicaRelayApp(
            self.pool,
            self.registry,
            cast(
                ReplicaPaths,
                SimpleNamespace(is_lost=self.lost.__contains__),
            ),
            lambda response: response.find_header(b'echo'),
            capacity,
            self.drain,
            observer,
        )
        self.address = f'127.0.0.1:{find_free_ports(1)[0]}'
        self.server = EntryServer(
            Starlette(routes=[HttpRoute(REPLICA_RELAY_PATH, app)]),
            self.address,
            0,
        )

    async def close(self):
        await self.server.close()
        await self.pool.close()


class Harness:
    def __init__(self):
        timers = SystemTimerService()
        self.timeline = Timeline('own', HybridClock(timers))
        self.pool = ConnectionPool(timers)
        self.target = ScriptedTarget(answer, keeps_connections=True)
        self.peers = []
        self.failed: list[str] = []
        self.interrupted: list[str] = []
        self.reached: list[str] = []
        self.dead: list[str] = []
        self.known: set[str] = set()
        self.relay = ReplicaRelay(
            self.pool,
            cast(
                RelayDirectory,
                SimpleNamespace(
                    list_relays=self.list_relays,
                    record_failure=self.failed.append,
                    record_interruption=self.interrupted.append,
                    record_success=lambda name, service: self.reached.append(
                        name
                    ),
                ),
            ),
            self.timeline,
        )

    @property
    def replica(self):
        return Replica('r', 'app', self.target.address, 'a', 8, started_at=5)

    def list_relays(self, service):
        addresses = [*self.dead, *(peer.address for peer in self.peers)]
        names = [f'peer-{number}' for number in range(len(addresses))]
        return [
            RelayCandidate(
                name,
                address,
                has_failed=name in self.failed,
                has_proved=name in self.known,
            )
            for name, address in zip(names, addresses, strict=True)
        ]

    async def add_peer(self, replica, capacity=1, observer=None):
        peer = Peer(replica, capacity, observer)
        await peer.server.start()
        self.peers.append(peer)
        return peer

    async def fetch(self, terms=TERMS, timeouts=TIMEOUTS):
        async with self.relay.exchange(
            self.replica, GET, timeouts, terms
        ) as response:
            return response.status, await response.read()

    def list_outcomes(self):
        return [
            one.fields['outcome']
            for one in self.timeline.read(HybridTime(), 99)
            if one.kind == 'exchange-relayed'
        ]


@pytest.fixture
async def harness():
    made = Harness()
    await made.target.start()
    yield made
    await made.pool.close()
    for peer in made.peers:
        await peer.close()
    await made.target.close()


async def test_request_and_response_pass_unchanged(harness):
    await harness.add_peer(harness.replica)
    assert await harness.fetch() == (200, b'whole')
    received = harness.target.received[0]
    assert received.method == 'GET'
    assert received.path == '/kegs'
    assert received.headers['host'] == 'pub'
    assert received.body == b'asked'
    assert harness.list_outcomes() == ['answered']


async def test_connections_to_the_peer_and_the_replica_are_used_again(harness):
    await harness.add_peer(harness.replica)
    for _ in range(3):
        await harness.fetch()
    assert harness.target.connections == 1
    assert harness.pool.count_idle(harness.peers[0].address) == 1


async def test_request_that_runs_once_gets_a_new_connection(harness):
    await harness.add_peer(harness.replica)
    for _ in range(2):
        await harness.fetch(ExchangeTerms('id-1', runs_once=True))
    assert harness.target.connections == 2


async def test_next_node_is_tried_only_if_nothing_was_sent(harness):
    await harness.add_peer(None)
    lost = await harness.add_peer(harness.replica)
    lost.lost.add('app')
    await harness.add_peer(harness.replica)
    assert await harness.fetch() == (200, b'whole')
    assert harness.list_outcomes() == ['unable', 'unable', 'answered']
    assert harness.failed == ['peer-0', 'peer-1']


async def test_node_that_has_relayed_a_request_comes_first_again(harness):
    await harness.add_peer(harness.replica)
    await harness.fetch()
    assert harness.reached == ['peer-0']


async def test_nodes_that_failed_are_not_tried_again_and_again(harness):
    """Guards against requests that wait for dead nodes one after the other."""
    harness.dead = [f'127.0.0.1:{port}' for port in find_free_ports(5)]
    for attempts in (3, 2, 1, 1):
        before = len(harness.list_outcomes())
        with pytest.raises(OverloadedError):
            await harness.fetch()
        assert len(harness.list_outcomes()) - before == attempts


async def test_replica_is_not_blamed_for_nodes_that_are_down(harness):
    """Guards against sound replicas that get a rest as relays are down."""
    harness.dead = [f'127.0.0.1:{port}' for port in find_free_ports(3)]
    with pytest.raises(OverloadedError):
        await harness.fetch()


async def test_node_that_reaches_the_service_shows_that_a_replica_is_down(
    harness,
):
    """Guards against sound relays that count as failed after a crash."""
    for _ in range(2):
        await harness.add_peer(
            Replica('r', 'app', '127.0.0.1:1', 'a', 8, started_at=5)
        )
    harness.known.add('peer-0')
    with pytest.raises(UnreachableError):
        await harness.fetch()
    assert harness.list_outcomes() == ['not_sent']
    assert not harness.failed


async def test_node_without_a_relay_has_not_sent_the_request(harness):
    """Guards against nodes of older software, which know no such call."""

    async def refuse(request, writer):
        writer.write(format_response(b'Not Found', status=404))
        await writer.drain()

    older = ScriptedTarget(refuse, keeps_connections=True)
    await older.start()
    harness.dead = [older.address]
    await harness.add_peer(harness.replica)
    assert await harness.fetch() == (200, b'whole')
    assert harness.list_outcomes() == ['unable', 'answered']
    await older.close()


async def test_limit_that_denies_the_request_ends_it_before_it_is_sent(harness):
    await harness.add_peer(harness.replica)
    await harness.add_peer(harness.replica)

    def deny():
        raise TargetLimitedError('limited', remedy='send it later')

    with pytest.raises(TargetLimitedError):
        await harness.fetch(ExchangeTerms('id-1', before_send=deny))
    assert not harness.target.received
    assert harness.list_outcomes() == ['unable']


async def test_request_has_not_run_if_no_node_reaches_the_replica(harness):
    for _ in range(2):
        peer = await harness.add_peer(harness.replica)
        peer.lost.add('app')
    with pytest.raises(OverloadedError):
        await harness.fetch()
    assert not harness.target.received


async def test_request_with_a_lost_answer_goes_to_no_other_node(harness):
    """Guards against a request that runs twice after a lost answer."""

    async def drop(request, writer):
        writer.transport.abort()

    harness.target.script = drop
    for _ in range(2):
        await harness.add_peer(harness.replica)
    with pytest.raises(TransportBrokenError):
        await harness.fetch()
    assert len(harness.target.received) == 1


async def test_silence_of_the_replica_is_told_apart(harness):
    async def stay_silent(request, writer):
        await asyncio.sleep(9)

    harness.target.script = stay_silent
    await harness.add_peer(harness.replica)
    with pytest.raises(SilentConnectionError):
        await harness.fetch(timeouts=Timeouts(0.4, 0.4))


async def test_body_that_is_cut_on_the_way_is_not_whole(harness):
    """Guards against a part of a body that is taken for all of it."""

    async def answer_in_part(request, writer):
        # Without a length the body ends with the connection.
        writer.write(b'HTTP/1.1 200 OK\r\nEcho: id-1\r\n\r\npart')
        await writer.drain()
        await asyncio.sleep(0.3)
        writer.transport.abort()

    harness.target.script = answer_in_part
    peer = await harness.add_peer(harness.replica)
    reading = asyncio.create_task(harness.fetch())
    await asyncio.sleep(0.15)
    await peer.server.close()
    with pytest.raises(TransportError):
        await reading


async def test_answer_to_another_request_ends_its_connection(harness):
    """Guards against a late second answer that reaches the next caller."""
    await harness.add_peer(harness.replica)
    with pytest.raises(TransportBrokenError):
        await harness.fetch(ExchangeTerms('id-2'))
    assert harness.peers[0].pool.count_idle(harness.target.address) == 0


async def test_request_of_a_caller_that_left_ends_at_the_replica(harness):
    """Guards against work that goes on after its caller has left."""

    async def stay_silent(request, writer):
        await asyncio.sleep(9)

    harness.target.script = stay_silent
    peer = await harness.add_peer(harness.replica)
    request = asyncio.create_task(harness.fetch())
    await asyncio.sleep(0.2)
    assert peer.pool.list_connections(harness.target.address)
    request.cancel()
    async with asyncio.timeout(0.5):
        while peer.pool.list_connections(harness.target.address):
            await asyncio.sleep(0.01)


async def test_node_relays_no_more_than_its_share(harness):
    async def answer_late(request, writer):
        await asyncio.sleep(0.3)
        await answer(request, writer)

    harness.target.script = answer_late
    await harness.add_peer(harness.replica, capacity=0.03)
    first = asyncio.create_task(harness.fetch())
    await asyncio.sleep(0.1)
    with pytest.raises(OverloadedError):
        await harness.fetch()
    assert await first == (200, b'whole')


async def test_nothing_is_sent_to_a_replica_that_leaves(harness):
    await harness.add_peer(
        Replica(
            'r',
            'app',
            harness.target.address,
            'a',
            8,
            is_leaving=True,
            started_at=5,
        )
    )
    with pytest.raises(UnreachableError):
        await harness.fetch()
    assert not harness.target.received


async def test_another_process_under_the_name_gets_no_request(harness):
    """Guards against requests to a later start that has the same name."""
    await harness.add_peer(
        Replica('r', 'app', harness.target.address, 'a', 8, started_at=6)
    )
    with pytest.raises(OverloadedError):
        await harness.fetch()


async def test_reservation_is_used_once_for_all_nodes(harness):
    uses = []
    lost = await harness.add_peer(harness.replica)
    lost.lost.add('app')
    await harness.add_peer(harness.replica)
    terms = ExchangeTerms('id-1', before_send=lambda: uses.append(1))
    assert await harness.fetch(terms) == (200, b'whole')
    assert len(uses) == 1


async def test_stopping_node_relays_only_what_it_can_finish(harness):
    """Guards against relayed requests that end with the relaying process."""
    stopping = await harness.add_peer(harness.replica)
    await harness.add_peer(harness.replica)
    draining = asyncio.create_task(stopping.drain.run_within(0.5))
    stopping.drain.begin_request()
    await asyncio.sleep(0.01)
    assert await harness.fetch(timeouts=Timeouts(None, 5)) == (200, b'whole')
    assert harness.list_outcomes() == ['unable', 'answered']
    assert len(harness.target.received) == 1
    await draining
