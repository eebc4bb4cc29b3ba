"""
Nodes that ask each other for the durations of replicas.

Guards against a node that goes on sending to a replica that others know to be
slow, and against questions that cost more than they are worth.
"""

import msgspec
import pytest

from ladder_core.messages import decode_msgpack
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import Replica
from ladder_node.capacity_sharing import (
    CapacityQuestion,
    CapacityReply,
    CapacitySharing,
    SharedEstimate,
)
from ladder_node.members import Member
from ladder_node.peer_calls import PeerSender
from ladder_node.replicas import ReplicaRegistry
from ladder_policy.capacity import CapacityMode

KIND = 'kegs'
REPLICAS = ('r0', 'r1', 'r2')


class Sender(PeerSender[CapacityQuestion, CapacityReply]):
    """Delivers questions as bytes; nodes of an old build do not answer."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.asked = []
        self.sent_bytes = 0

    async def send(self, address, message):
        self.asked.append(address)
        node = self.deployment.nodes[address]
        if node.is_old:
            return None
        question = msgspec.msgpack.encode(message)
        asked = decode_msgpack(question, CapacityQuestion)
        reply = msgspec.msgpack.encode(node.sharing.answer(asked))
        self.sent_bytes += len(question) + len(reply)
        return decode_msgpack(reply, CapacityReply)


class Node:
    def __init__(self, name, deployment, centre, mode):
        self.is_old = False
        self.member = Member(name, '', centre, '', '', peer_address=name)
        timers = deployment.timers
        self.registry = ReplicaRegistry(
            timers, Timeline(name, HybridClock(timers)), mode
        )
        self.registry.replace(
            [Replica(one, 'taproom', f'{one}:1', 'z', 6) for one in REPLICAS],
            0,
        )
        self.sender = Sender(deployment)
        self.sharing = CapacitySharing(
            lambda: self.member,
            lambda: [one.member for one in deployment.nodes.values()],
            self.registry,
            self.sender,
            timers,
        )

    def find(self, replica):
        record = self.registry.find(replica)
        assert record is not None
        return record

    def measure(self, replica, seconds, now, times=10):
        record = self.find(replica)
        for _ in range(times):
            record.record_success(seconds, now, KIND)

    def estimate(self, replica, now):
        capacity = self.find(replica).capacity
        assert capacity is not None
        return capacity.estimate(KIND, now)


class Deployment:
    def __init__(self, centres=('z', 'z'), mode=CapacityMode.learned):
        self.timers = ManualTimerService(start=1000)
        self.nodes = {}
        for number, centre in enumerate(centres):
            name = f'n{number}'
            self.nodes[name] = Node(name, self, centre, mode)

    @property
    def now(self):
        return self.timers.now()


async def test_node_with_few_requests_learns_of_a_slow_replica():
    deployment = Deployment()
    first, second = deployment.nodes.values()
    second.measure('r0', 0.4, deployment.now)
    second.measure('r1', 0.05, deployment.now)
    assert first.estimate('r0', deployment.now) is None
    await first.sharing.ask()
    slow = first.estimate('r0', deployment.now)
    assert slow is not None
    assert slow.seconds == pytest.approx(0.4, rel=0.01)


async def test_received_estimates_are_not_passed_on():
    """Guards against an old estimate that goes round between nodes."""
    deployment = Deployment(('z', 'z', 'z'))
    first, second, _ = deployment.nodes.values()
    second.measure('r0', 0.4, deployment.now)
    first.estimate('r0', deployment.now)
    while not first.estimate('r0', deployment.now):
        await first.sharing.ask()
    answer = first.sharing.answer(CapacityQuestion(REPLICAS))
    assert answer == CapacityReply()


async def test_node_of_an_old_build_is_asked_once_a_minute():
    """Guards against questions that an old build answers with 404."""
    deployment = Deployment()
    first, second = deployment.nodes.values()
    second.is_old = True
    for _ in range(5):
        first.estimate('r0', deployment.now)
        await first.sharing.ask()
    assert first.sender.asked == ['n1']
    assert first.estimate('r0', deployment.now) is None
    await deployment.timers.advance(61)
    first.estimate('r0', deployment.now)
    await first.sharing.ask()
    assert len(first.sender.asked) == 2


async def test_nodes_of_other_data_centres_are_not_asked():
    """Guards against durations that include another way to the replica."""
    deployment = Deployment(('z', 'y'))
    first = deployment.nodes['n0']
    first.estimate('r0', deployment.now)
    await first.sharing.ask()
    assert not first.sender.asked


async def test_no_question_without_requests_or_with_enough_samples():
    """Guards against bytes between nodes that change no decision."""
    deployment = Deployment()
    first = deployment.nodes['n0']
    await first.sharing.ask()
    for replica in REPLICAS:
        first.measure(replica, 0.05, deployment.now)
        first.estimate(replica, deployment.now)
    await first.sharing.ask()
    assert not first.sender.asked


async def test_fixed_capacities_are_neither_asked_for_nor_given():
    deployment = Deployment(mode=CapacityMode.fixed)
    first, second = deployment.nodes.values()
    second.measure('r0', 0.4, deployment.now)
    await first.sharing.ask()
    assert not first.sender.asked
    answer = second.sharing.answer(CapacityQuestion(REPLICAS))
    assert answer == CapacityReply()


async def test_bytes_of_a_node_are_bounded():
    """Guards against more than a few hundred bytes per second and node."""
    deployment = Deployment()
    first, second = deployment.nodes.values()
    names = tuple(f'taproom-replica-{number:04}' for number in range(40))
    for node in (first, second):
        node.registry.replace(
            [Replica(one, 'taproom', f'{one}:1', 'z', 6) for one in names], 0
        )
    for name in names:
        for kind in 'abcdefgh':
            record = second.find(name)
            for _ in range(4):
                record.record_success(0.1, deployment.now, kind)
        first.estimate(name, deployment.now)
    await first.sharing.ask()
    assert 0 < first.sender.sent_bytes < 600


@pytest.mark.parametrize(
    'estimate',
    [
        (0, KIND, -1, 0),
        (0, KIND, float('nan'), 0),
        (0, KIND, 0.1, -5),
        (-1, KIND, 0.1, 0),
        (0, 'k' * 99, 0.1, 0),
    ],
)
def test_impossible_estimates_are_not_decoded(estimate):
    encoded = msgspec.msgpack.encode(estimate)
    with pytest.raises(msgspec.DecodeError):
        decode_msgpack(encoded, SharedEstimate)


async def test_estimate_of_a_replica_that_was_not_asked_for_is_ignored(
    monkeypatch,
):
    deployment = Deployment()
    first, second = deployment.nodes.values()
    reply = CapacityReply((SharedEstimate(7, KIND, 0.4, 0),))
    monkeypatch.setattr(second.sharing, 'answer', lambda _: reply)
    first.estimate('r0', deployment.now)
    await first.sharing.ask()
    assert first.estimate('r0', deployment.now) is None
