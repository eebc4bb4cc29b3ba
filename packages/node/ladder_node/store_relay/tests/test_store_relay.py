import asyncio

import pytest

from ladder_clients.exchanges import ConnectionPool
from ladder_clients.table import StoreOutcomeUnknownError
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import SystemTimerService
from ladder_node.serving import EntryServer
from ladder_node.store_relay import (
    RelayedCall,
    RelayedResponse,
    StoreRelay,
    StoreRelayApp,
    StoreRelayError,
)
from ladder_standins.fleet.ports import find_free_ports

READ = RelayedCall('GET', '/rows', b'', True, 0)
WRITE = RelayedCall('POST', '/rows', b'{}', False, 0)
UNREACHABLE_ADDRESS = '127.0.0.1:1'


class Peer:
    """A node that answers relayed calls according to a script."""

    def __init__(self, script):
        self.received = []
        self.address = f'127.0.0.1:{find_free_ports(1)[0]}'
        self._script = script
        self._server = EntryServer(
            StoreRelayApp(self._make_call), self.address, 0
        )

    async def start(self):
        await self._server.start()

    async def close(self):
        await self._server.close()

    async def _make_call(self, call):
        self.received.append(call)
        return await self._script()


class RelayHarness:
    def __init__(self):
        self.timers = SystemTimerService()
        self.timeline = Timeline('a', HybridClock(self.timers))
        self.pool = ConnectionPool(self.timers)
        self.peers = []
        self.addresses: list[str] = []
        self.relay = StoreRelay(
            self.pool,
            lambda: self.addresses,
            self.timers,
            self.timeline,
        )

    async def add_peer(self, script):
        peer = Peer(script)
        await peer.start()
        self.peers.append(peer)
        self.addresses.append(peer.address)
        return peer

    def list_kinds(self):
        return [one.kind for one in self.timeline.read(HybridTime(), 99)]

    async def close(self):
        await self.pool.close()
        for peer in self.peers:
            await peer.close()


@pytest.fixture
async def harness():
    made = RelayHarness()
    await made.pool.start()
    yield made
    await made.close()


async def answer():
    return RelayedResponse(200, b'rows')


async def refuse():
    raise StoreUnavailableError('down', remedy='wait')


async def lose():
    raise StoreOutcomeUnknownError('lost', remedy='read back')


async def stay_silent():
    await asyncio.sleep(3600)


def fail_direct_path(harness):
    harness.relay.record_failure(is_unanswered=True, reason='no answer')


async def test_calls_go_directly_until_the_direct_path_fails(harness):
    assert not harness.relay.is_needed()
    fail_direct_path(harness)
    assert harness.relay.is_needed()
    harness.relay.record_success()
    assert not harness.relay.is_needed()
    assert harness.list_kinds() == ['dependency-lost', 'dependency-regained']


async def test_one_refusal_does_not_start_relaying(harness):
    harness.relay.record_failure(is_unanswered=False, reason='429')
    assert not harness.relay.is_needed()
    harness.relay.record_failure(is_unanswered=False, reason='429')
    assert harness.relay.is_needed()


async def test_peer_makes_the_call_unchanged(harness):
    peer = await harness.add_peer(answer)
    assert await harness.relay.relay(WRITE) == RelayedResponse(200, b'rows')
    assert peer.received == [WRITE]


async def test_next_peer_is_asked_when_one_is_unreachable(harness):
    harness.addresses.append(UNREACHABLE_ADDRESS)
    await harness.add_peer(answer)
    assert (await harness.relay.relay(READ)).status == 200


async def test_refusals_of_all_peers_had_no_effect_and_are_shared(harness):
    fail_direct_path(harness)
    await harness.add_peer(refuse)
    await harness.add_peer(refuse)
    assert not harness.relay.is_outage_shared()
    with pytest.raises(StoreRelayError):
        await harness.relay.relay(WRITE)
    assert harness.relay.is_outage_shared()


async def test_write_whose_answer_a_peer_lost_is_not_made_by_another(harness):
    first = await harness.add_peer(lose)
    second = await harness.add_peer(answer)
    received = await harness.relay.relay(WRITE)
    assert (received.status, received.is_undone) == (0, False)
    assert len(first.received) + len(second.received) == 1


async def test_read_that_a_peer_leaves_unanswered_is_made_by_another(harness):
    await harness.add_peer(stay_silent)
    await harness.add_peer(answer)
    assert (await harness.relay.relay(READ)).status == 200


async def test_unreachable_peers_report_no_shared_outage(harness):
    fail_direct_path(harness)
    harness.addresses.append(UNREACHABLE_ADDRESS)
    with pytest.raises(StoreRelayError):
        await harness.relay.relay(WRITE)
    assert not harness.relay.is_outage_shared()


async def test_peers_are_not_asked_during_the_back_off(harness):
    fail_direct_path(harness)
    with pytest.raises(StoreRelayError):
        await harness.relay.relay(READ)
    assert not harness.relay.is_needed()
