"""
Guards against a sum of requests over all nodes above what a replica takes.

Each node knows only what it sends itself, so keeping the limit on each node
alone, or on the node that sends most, is not enough.
"""

import asyncio
import contextlib

import pytest

from ladder_clients.replicas import CallKind
from ladder_core.errors import TargetLimitedError
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import Replica
from ladder_node.rate_limits import PermitApplication
from ladder_node.rate_limits.tests.fakes import FakePeers

REPLICA = Replica('r', 'app', '10.0.0.1:80', 'leith', 6, started_at=5)
LATER = Replica('r', 'app', '10.0.0.1:80', 'leith', 6, started_at=9)
WINDOW_SECONDS = 4
STEP_SECONDS = 0.1


class Harness:
    """Nodes before one replica, each of which sends as often as it may."""

    def __init__(self, nodes=3, rate=1.0):
        self.timers = ManualTimerService()
        self.timeline = Timeline('node', HybridClock(self.timers))
        self.peers = FakePeers(self.timers, self.timeline, 0.01)
        self.nodes = [self.peers.add(f'node-{n}') for n in range(nodes)]
        self.rate = rate
        self.written = []
        for node in self.nodes:
            node.record(REPLICA, rate)

    @property
    def issuer(self):
        name = self.nodes[0]._find_issuer((REPLICA.name, 5)).name
        return self.peers.limiters[name]

    @property
    def others(self):
        return [node for node in self.nodes if node is not self.issuer]

    async def send(self, node, priority=0, replica=REPLICA):
        """Return whether a request was written."""
        try:
            async with node.reserve(
                replica, CallKind.request, priority
            ) as reservation:
                reservation.use()
        except TargetLimitedError:
            return False
        self.written.append((self.timers.now(), priority))
        return True

    async def run(self, call):
        """Run a call while the clock advances."""
        task = asyncio.ensure_future(call)
        await self.timers.settle()
        while not task.done():
            await self.timers.advance(0.01)
        return await task

    async def press(self, seconds, priorities=(0,), nodes=None):
        """Let all nodes send as often as they may for some seconds."""

        async def repeat(node, priority):
            while True:
                await self.send(node, priority)
                await self.timers.sleep(STEP_SECONDS)

        senders = [
            asyncio.ensure_future(repeat(node, priority))
            for node in nodes or self.nodes
            for priority in priorities
        ]
        await self.timers.advance(seconds)
        for sender in senders:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sender

    def find_most(self):
        """Return the most requests in four seconds."""
        return max(
            sum(0 <= when - first <= WINDOW_SECONDS for when, _ in self.written)
            for first, _ in self.written
        )


@pytest.mark.parametrize('nodes', [1, 9, 90, 360])
@pytest.mark.parametrize('rate', [0, 0.4, 1, 2.4, 12.5])
async def test_sum_over_all_nodes_keeps_the_limit_and_uses_it(nodes, rate):
    harness = Harness(nodes, rate)
    seconds = 6 if nodes > 9 else 12
    await harness.press(seconds)
    assert harness.find_most() <= 1.5 * rate * WINDOW_SECONDS + 5
    offered = min(rate, 0.9 * nodes / STEP_SECONDS)
    assert len(harness.written) >= max(0.9 * offered * seconds - 1, 1)


async def test_time_without_requests_allows_no_large_burst():
    """Guards against permits that add up while nobody applies."""
    harness = Harness(nodes=9)
    await harness.press(1)
    await harness.timers.advance(60)
    harness.written.clear()
    await harness.press(6)
    assert harness.find_most() <= 1.5 * harness.rate * WINDOW_SECONDS + 5


@pytest.mark.parametrize('nodes', [9, 90, 360])
async def test_applications_are_bounded_by_the_rate(nodes):
    harness = Harness(nodes, 1)
    await harness.press(4)
    before = harness.peers.applications
    await harness.press(4)
    # A node waits for its turn, or two seconds.
    assert harness.peers.applications - before <= nodes * 4 / 2 + 6


async def test_unlimited_replica_needs_no_permit():
    harness = Harness()
    assert await harness.send(harness.others[0], replica=LATER)
    assert harness.peers.applications == 0


async def test_limit_named_after_the_reservation_holds():
    harness = Harness()
    node = harness.others[0]
    node.record(REPLICA, None)
    with pytest.raises(TargetLimitedError):
        async with node.reserve(REPLICA, CallKind.task, 0) as reservation:
            node.record(REPLICA, 1)
            reservation.use()


async def test_permit_that_was_not_used_is_used_for_the_next_request():
    harness = Harness(rate=0.1)

    async def connect_in_vain(node):
        async with node.reserve(REPLICA, CallKind.request, 0):
            """Write nothing."""

    node = harness.others[0]
    await harness.run(connect_in_vain(node))
    assert await harness.run(harness.send(node))
    assert not await harness.run(harness.send(node))


async def test_permit_expires():
    harness = Harness()

    async def connect_slowly(node):
        async with node.reserve(REPLICA, CallKind.request, 0) as reservation:
            await harness.timers.sleep(0.6)
            reservation.use()

    with pytest.raises(TargetLimitedError):
        await harness.run(connect_slowly(harness.others[0]))


async def test_denied_request_is_told_when_a_permit_is_free():
    harness = Harness(rate=0.5)
    node = harness.others[0]
    await harness.run(harness.send(node))
    with pytest.raises(TargetLimitedError) as denied:
        async with asyncio.timeout(1):
            await harness.run(_reserve(node))
    assert denied.value.retry_after == pytest.approx(2, abs=0.1)
    denial = node.find_denial(REPLICA, 0)
    assert 1.9 < denial.retry_seconds < 4


async def _reserve(node):
    async with node.reserve(REPLICA, CallKind.request, 0):
        """Nothing is written."""


async def test_urgent_requests_go_first():
    harness = Harness(rate=1)
    await harness.press(2, priorities=(0, 3))
    harness.written.clear()
    await harness.press(8, priorities=(0, 3))
    urgent = sum(priority == 0 for _, priority in harness.written)
    assert urgent >= 0.9 * len(harness.written)


async def test_less_urgent_requests_get_what_is_left():
    harness = Harness(rate=1)
    await harness.press(8, priorities=(3,))
    assert len(harness.written) >= 7


async def test_unreachable_issuer_grants_nothing():
    harness = Harness(nodes=9)
    harness.peers.cut_off.update(harness.peers.limiters)
    await harness.press(8, nodes=harness.others)
    assert not harness.written


async def test_permits_go_on_at_another_issuer():
    harness = Harness(nodes=9)
    await harness.press(4)
    gone = harness.issuer
    harness.nodes.remove(gone)
    harness.peers.limiters.pop(gone._node)
    await harness.press(8)
    assert harness.find_most() <= 1.5 * harness.rate * WINDOW_SECONDS + 5
    assert len(harness.written) >= 10


async def test_node_that_is_no_issuer_grants_nothing():
    harness = Harness()
    refused = [
        node.decide(make_application()).outcome for node in harness.others
    ]
    assert refused == ['misdirected', 'misdirected']


def make_application():
    return PermitApplication('node', (REPLICA.name, 5), 1, 0, 0)


async def test_end_of_a_limit_is_told_to_nodes_that_apply():
    harness = Harness(nodes=9, rate=0.5)
    await harness.press(1)
    first, *rest = harness.others
    await harness.timers.advance(1)
    first.record(REPLICA, None)
    await harness.timers.advance(10)
    for node in rest:
        assert await harness.run(harness.send(node))
        assert node.find_rate(REPLICA) is None
    for node in harness.nodes:
        await node.close()


async def test_limit_that_is_named_again_after_its_end_holds():
    harness = Harness(nodes=9, rate=0.5)
    first, second, *_ = harness.others
    first.record(REPLICA, None)
    await harness.timers.advance(1)
    second.record(REPLICA, 0.5)
    written = [await harness.run(harness.send(second)) for _ in range(9)]
    assert sum(written) <= 2
    for node in harness.nodes:
        await node.close()


async def test_denial_is_logged_with_its_inputs():
    harness = Harness(rate=0.5)
    node = harness.others[0]
    for _ in range(3):
        await harness.run(harness.send(node))
    events = harness.timeline.read(HybridTime(), 99)
    denied = [event for event in events if event.kind == 'permit-denied']
    assert len(denied) == 1
    assert denied[0].fields['outcome'] == 'denied'
    assert denied[0].fields['rate'] == '0.5'
