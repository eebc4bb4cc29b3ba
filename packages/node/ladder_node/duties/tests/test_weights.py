from typing import Any

from ladder_clients.engines import EngineClient, EngineState, OrderResponse
from ladder_clients.platform import Weights, WeightStore
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind
from ladder_node.duties import WeightRollout
from ladder_node.leases import Lease, LeaseHolder, LeaseManager
from ladder_node.targets import TargetTable
from ladder_policy.versions import AllAtOncePlanner
from ladder_standins.rows import TableRows
from ladder_standins.timed_table import TimedTable

POOL = 'brewmind'


class Engines(EngineClient):
    """In-memory engines that load a version at once."""

    def __init__(self):
        self.versions = {}
        self.tokens = {}
        self.ignoring = set()
        self.failures = 0
        self.orders = []

    def generate(self, address, request):
        raise NotImplementedError

    async def cancel(self, address, request_id):
        """Do nothing."""

    async def read_state(self, address):
        return EngineState(self.versions[address])

    async def order(self, address, order):
        self.orders.append((address, order.version, order.fencing_token))
        highest = self.tokens.get(address, 0)
        self.tokens[address] = max(highest, order.fencing_token)
        if order.fencing_token < highest and address not in self.ignoring:
            return OrderResponse(accepted=False, reason='old')
        if self.failures:
            self.failures -= 1
        else:
            self.versions[address] = order.version
        return OrderResponse(accepted=True)


class Store(WeightStore):
    """The newest version of every model."""

    def __init__(self):
        self.version = 2

    async def read_newest(self, model):
        return Weights(model, self.version, 1000, 1000)


class Node:
    """A node that may acquire the lease of the pool and order loads."""

    def __init__(self, name, harness):
        self.timeline = Timeline(name, HybridClock(harness.timers))
        self.targets = TargetTable(harness.timers, self.timeline)
        self.targets.update_hosts(harness.entries)
        self.manager = LeaseManager(
            TimedTable(harness.rows, harness.timers),
            LeaseHolder(name, f'{name}:1'),
            harness.timers,
            self.timeline,
        )
        self.rollout = WeightRollout(
            self.targets,
            harness.engines,
            harness.store,
            AllAtOncePlanner(),
            harness.timers,
            self.timeline,
        )
        self._engines = harness.engines
        self.lease: Any = None

    @property
    def kinds(self):
        return [event.kind for event in self.timeline.read(HybridTime(), 99)]

    async def work(self):
        for target in self.targets.list_all(HostKind.engine):
            state = await self._engines.read_state(target.entry.address)
            self.targets.update_state(target.entry.name, state)
        self.lease = await self.manager.acquire(f'pool/{POOL}') or self.lease
        if self.lease is not None:
            await self.rollout.reconcile(POOL, self.lease)


class RolloutHarness:
    """Two engines, one of which ignores fencing tokens."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.rows = TableRows(lambda kind, subject, **_: None)
        self.engines = Engines()
        self.store = Store()
        self.engines.versions = {'checks': 1, 'ignores': 1}
        self.engines.ignoring = {'ignores'}
        self.entries = [
            HostEntry(
                name,
                HostKind.engine,
                name,
                'leith',
                'lowlands',
                pool=POOL,
                model='cask',
                checks_fencing=name == 'checks',
            )
            for name in ('checks', 'ignores')
        ]

    async def run(self, node, seconds):
        for _ in range(seconds):
            await node.work()
            await self.timers.advance(1)
            await node.manager.renew()


async def test_order_waits_for_old_orders_at_a_target_that_ignores_fencing():
    harness = RolloutHarness()
    node = Node('a', harness)
    await node.work()
    assert harness.engines.orders == [('checks', 2, 1)]
    await harness.run(node, 3)
    assert harness.engines.versions == {'checks': 2, 'ignores': 2}


async def test_no_order_is_sent_that_does_not_fit_into_the_lease():
    harness = RolloutHarness()
    node = Node('a', harness)
    await harness.run(node, 4)
    harness.store.version = 3
    sent = len(harness.engines.orders)
    await harness.timers.advance(13)
    assert node.lease.is_valid()
    await node.rollout.reconcile(POOL, node.lease)
    await harness.timers.advance(20)
    await node.rollout.reconcile(POOL, node.lease)
    assert len(harness.engines.orders) == sent


async def test_order_of_a_paused_holder_is_refused_or_corrected():
    harness = RolloutHarness()
    paused, successor = Node('a', harness), Node('b', harness)
    await harness.run(paused, 4)
    harness.store.version = 3
    assert await successor.manager.acquire(f'pool/{POOL}') is None
    await harness.timers.advance(15)
    await harness.run(successor, 4)
    assert harness.engines.versions == {'checks': 3, 'ignores': 3}
    # Orders that the paused holder sent long ago arrive only now.
    frozen = FrozenLease(
        POOL,
        1,
        1,
        harness.timers,
        paused.manager._release_one,
    )
    for target in paused.targets.list_all(HostKind.engine):
        late = Weights('cask', 2)
        await paused.rollout._order(target, late, frozen)
    assert harness.engines.versions == {'checks': 3, 'ignores': 2}
    await harness.run(successor, 6)
    assert harness.engines.versions == {'checks': 3, 'ignores': 3}


class FrozenLease(Lease):
    """Lease as the paused holder saw it when it sent its order."""

    def remaining(self):
        return 9


async def test_failed_swap_is_recorded_and_repeated():
    harness = RolloutHarness()
    node = Node('a', harness)
    harness.engines.failures = 2
    await harness.run(node, 12)
    assert harness.engines.versions == {'checks': 2, 'ignores': 2}
    assert node.kinds.count('swap-failed') == 2


async def test_target_that_serves_less_than_it_states_is_reloaded_once():
    harness = RolloutHarness()
    node = Node('a', harness)
    await harness.run(node, 6)
    sent = len(harness.engines.orders)
    node.targets.check_served_version('checks', 1, 2)
    node.targets.check_served_version('checks', 1, 2)
    available = node.targets.list_available(HostKind.engine)
    assert [target.entry.name for target in available] == ['ignores']
    await harness.run(node, 10)
    assert harness.engines.orders[sent:] == [('checks', 2, 1)]
    assert node.kinds.count('version-contradicted') == 1
    await harness.run(node, 12)
    assert len(node.targets.list_available(HostKind.engine)) == 2
    assert len(harness.engines.orders) == sent + 1
