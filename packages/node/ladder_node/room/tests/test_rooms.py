"""Places at services: who waits, who is refused, and what peers report."""

import asyncio

import pytest

from ladder_core.errors import Execution, OverloadedError
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.peer_calls import PeerSender
from ladder_node.room import (
    RoomQuestion,
    RoomReply,
    RoomSharing,
    ServiceRooms,
)


class Harness:
    def __init__(self, is_active=True):
        self.timers = ManualTimerService()
        self.rooms = ServiceRooms(
            lambda: is_active,
            self.timers,
            Timeline('a', HybridClock(self.timers)),
        )
        self.tasks = []
        self.done = []

    def send(self, party, seconds=0.1, deadline=10.0, meets_full=False):
        """Start a request that takes some seconds once it has a place."""

        async def run():
            async with self.rooms.enter('s', party, 1, deadline) as place:
                if meets_full:
                    place.record_full()
                await self.timers.sleep(seconds)
                place.is_served = True
            self.done.append(party)

        task = asyncio.create_task(run())
        self.tasks.append(task)
        return task

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
async def harness():
    made = Harness()
    yield made
    await made.close()


async def fill(harness):
    """Let two requests run at a service that has room for no third one."""
    harness.send('large', seconds=1)
    harness.send('large', seconds=1, meets_full=True)
    await harness.timers.settle()


async def test_waiting_request_starts_once_there_is_room(harness):
    await fill(harness)
    waiting = harness.send('small')
    await harness.timers.advance(0.5)
    assert not waiting.done()
    await harness.timers.advance(1)
    assert waiting.done()
    assert harness.done.count('small') == 1


async def test_late_request_is_refused_at_once_and_has_not_run(harness):
    await fill(harness)
    for _ in range(3):
        harness.send('large')
    await harness.timers.settle()
    late = harness.send('large', deadline=harness.timers.now() + 0.1)
    await harness.timers.settle()
    error = late.exception()
    assert isinstance(error, OverloadedError)
    assert error.execution is Execution.not_run
    assert error.retry_after is not None
    assert error.retry_after > 0


async def test_request_is_refused_when_its_time_is_over(harness):
    """A service that stays full must not hold requests for ever."""
    await fill(harness)
    waiting = harness.send('small', deadline=0.5)
    await harness.timers.advance(0.6)
    assert isinstance(waiting.exception(), OverloadedError)


async def test_caller_that_leaves_keeps_no_place(harness):
    await fill(harness)
    waiting = harness.send('small')
    await harness.timers.settle()
    waiting.cancel()
    await harness.timers.advance(5)
    assert harness.done == ['large', 'large']
    assert harness.rooms.list_contended() == []


async def test_nobody_waits_without_organisations():
    harness = Harness(is_active=False)
    for _ in range(20):
        harness.send('', meets_full=True)
    await harness.timers.advance(0.2)
    assert len(harness.done) == 20
    await harness.close()


class FakePeers(PeerSender[RoomQuestion, RoomReply]):
    """Other nodes whose shares answer questions directly."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.questions = 0

    async def send(self, address, message):
        self.questions += 1
        node = self.nodes.get(address)
        return node.answer(message) if node else None


async def test_peers_are_asked_only_while_room_is_short(harness):
    peers = FakePeers({})
    sharing = RoomSharing(
        harness.rooms, lambda: ['a:1', 'b:1'], peers, harness.timers
    )
    await sharing.ask()
    assert peers.questions == 0
    await fill(harness)
    await sharing.ask()
    assert peers.questions == 2


async def test_organisation_served_elsewhere_waits_for_others(harness):
    """An organisation must not get more by sending to more nodes."""
    other = Harness()
    peers = FakePeers({})
    nodes = [
        RoomSharing(made.rooms, lambda: ['b:1'], peers, made.timers)
        for made in (harness, other)
    ]
    peers.nodes = {'b:1': nodes[1]}
    await fill(harness)
    harness.send('spread')
    harness.send('local')
    other.send('spread')
    await harness.timers.settle()
    await nodes[0].ask()
    for _ in range(5):
        other.send('spread')
    await harness.timers.settle()
    await nodes[0].ask()
    await harness.timers.advance(1.15)
    order = [party for party in harness.done if party != 'large']
    assert order[:1] == ['local']
    await other.close()


async def test_waiting_request_is_refused_once_it_can_not_be_served(harness):
    """It must not be held until its deadline has passed."""
    await fill(harness)
    waiting = harness.send('small', deadline=0.5)
    await harness.timers.advance(0.47)
    error = waiting.exception()
    assert isinstance(error, OverloadedError)
    assert error.execution is Execution.not_run
