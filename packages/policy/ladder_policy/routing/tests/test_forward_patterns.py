"""
Patterns of plain replicas that differ in speed, and which one is chosen.

Each test names the load that it answers. A response takes 25 to 120 ms at a
replica of ordinary speed.
"""

import random
from collections import Counter

import pytest

from ladder_policy.capacity import ServiceCapacity
from ladder_policy.routing import ForwardCandidate, choose_forward_target

SLOTS = 6
KIND = 'kegs'


def find_seconds(replica, now, kind=KIND):
    estimate = replica.estimate(kind, now)
    assert estimate is not None
    return estimate.seconds


class Node:
    """One node that sends a request to three replicas every 1.5 s."""

    def __init__(self, factors, seed, distances=(0, 0, 0), is_learned=True):
        self.rng = random.Random(seed)
        self.now: float = 0
        service = ServiceCapacity()
        self.factors = dict(zip('abc', factors, strict=True))
        self.distances = dict(zip('abc', distances, strict=True))
        self.capacities = {name: service.make_replica() for name in 'abc'}
        self.means = dict.fromkeys('abc')
        self.is_learned = is_learned

    def choose(self, in_flight=0):
        chosen = choose_forward_target(
            ForwardCandidate(
                name,
                in_flight,
                self.capacities[name].find_limit(KIND, SLOTS, self.now),
                self.distances[name],
                mean_seconds=None if self.is_learned else self.means[name],
                learned=self.capacities[name].estimate(KIND, self.now)
                if self.is_learned
                else None,
            )
            for name in 'abc'
        )
        assert chosen is not None
        return chosen.name

    def send(self, name, slow=1):
        seconds = self.rng.uniform(0.025, 0.12) * self.factors[name] * slow
        self.capacities[name].observe(KIND, seconds, 1, self.now)
        mean = self.means[name] or seconds
        self.means[name] = mean + 0.2 * (seconds - mean)
        self.now += 1.5

    def learn(self, rounds):
        for _ in range(rounds):
            for name in 'abc':
                self.send(name)


@pytest.mark.parametrize('seed', range(5))
def test_pattern_one_slow_replica_of_three(seed):
    """Guards against requests at a replica that is 2.4 times slower."""
    node = Node((1.7, 0.7, 0.7), seed)
    node.learn(40)
    assert node.choose() != 'a'
    fixed = Node((1.7, 0.7, 0.7), seed, is_learned=False)
    chosen: Counter[str] = Counter()
    for _ in range(100):
        fixed.learn(1)
        chosen[fixed.choose()] += 1
    assert chosen['a'] > 10


@pytest.mark.parametrize('seed', range(5))
def test_pattern_replicas_that_are_alike(seed):
    """Guards against new connections to replicas that differ by chance."""
    node = Node((1, 1, 1), seed)
    chosen: Counter[str] = Counter()
    for _ in range(100):
        node.learn(1)
        chosen[node.choose()] += 1
    assert chosen['a'] > 85


@pytest.mark.parametrize('seed', range(5))
def test_pattern_replica_turns_slow_and_recovers(seed):
    """Guards against requests at a replica that is 6 times slower."""
    node = Node((1, 1, 1), seed)
    node.learn(40)
    while node.choose() == 'a':
        node.send('a', slow=6)
    assert node.now < 40 * 4.5 + 3 * 1.5 + 1
    node.now += 30
    assert node.choose() == 'a'


def test_pattern_slow_near_replica_has_recovered_without_traffic():
    """
    Guards against a near replica that is avoided for ever.

    Its estimate changes only by a request, and it gets none while it is slow.
    """
    node = Node((8, 1, 1), 1, distances=(0, 2, 2))
    node.learn(40)
    node.factors['a'] = 1
    chosen = []
    for _ in range(60):
        chosen.append(node.choose())
        node.send(chosen[-1])
    # Some requests measure it; then it is used again.
    assert 'a' not in chosen[:15]
    assert set(chosen[-10:]) == {'a'}


def test_pattern_slow_near_replica_is_probed_rarely():
    """Guards against probes that make many requests slow."""
    node = Node((8, 1, 1), 1, distances=(0, 2, 2))
    node.learn(40)
    chosen = []
    for _ in range(200):
        chosen.append(node.choose())
        node.send(chosen[-1])
    assert 0 < chosen.count('a') < 200 / 15


def test_pattern_distant_replica_is_only_a_little_faster():
    """Guards against expensive bytes between data centres."""
    node = Node((1, 0.6, 0.6), 1, distances=(0, 2, 2))
    node.learn(40)
    assert node.choose() == 'a'
    node = Node((4, 1, 1), 1, distances=(0, 2, 2))
    node.learn(40)
    assert node.choose() != 'a'


def test_pattern_knee_at_half_of_the_slots():
    """Guards against requests beyond what a replica handles well."""
    node = Node((1, 1, 1), 1)
    for moment in range(900):
        running = (6, 5, 4, 3, 2)[moment % 5]
        seconds = node.rng.uniform(0.04, 0.06) * max(running, 3) / 3
        node.capacities['a'].observe(KIND, seconds, running, moment / 10)
    node.now = 95
    assert node.capacities['a'].find_limit(KIND, SLOTS, node.now) == 3
    # This node leaves half of the useful slots to other nodes.
    assert node.choose(in_flight=0) == 'a'
    assert node.choose(in_flight=2) == 'b'


def test_pattern_kinds_of_requests_differ():
    """Guards against a replica that is slow as it gets the long requests."""
    service = ServiceCapacity()
    first, second = service.make_replica(), service.make_replica()
    for moment in range(40):
        first.observe('long', 0.5, 1, moment)
        first.observe('short', 0.05, 1, moment)
        second.observe('short', 0.05, 1, moment)
    expected = pytest.approx(find_seconds(second, 40, 'short'))
    assert find_seconds(first, 40, 'short') == expected


def test_pattern_no_traffic():
    """Guards against preferences before any measurement."""
    assert Node((1, 1, 1), 1).choose() == 'a'


def test_pattern_own_samples_outweigh_those_of_another_node():
    replica = ServiceCapacity().make_replica()
    for moment in range(20):
        replica.observe(KIND, 0.05, 1, moment)
    replica.receive(KIND, 0.2, measured_at=19.5)
    assert find_seconds(replica, 20) < 0.07
    # An estimate of this node that is 40 s old yields to a recent one.
    replica.receive(KIND, 0.2, measured_at=59)
    assert find_seconds(replica, 60) > 0.15


def test_pattern_node_without_traffic_uses_the_estimates_of_others():
    replica = ServiceCapacity().make_replica()
    replica.receive(KIND, 0.2, measured_at=1)
    assert find_seconds(replica, 2) == pytest.approx(0.2)
    assert replica.estimate(KIND, 60) is None
