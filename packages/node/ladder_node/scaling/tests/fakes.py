"""Nodes that order replicas of a platform in memory, on a manual clock."""

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass, replace

from ladder_clients.cloud import CallOutcome, CloudClient
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.values import (
    CallerLimits,
    Replica,
    Route,
    RouteKind,
    RouteTable,
    ScalingLimits,
    ServiceEntry,
    ServiceShare,
)
from ladder_node.leases import LeaseHolder, LeaseManager, LeaseTerm
from ladder_node.replicas import ReplicaRegistry
from ladder_node.routes import RouteCache
from ladder_node.scaling import (
    Autoscaler,
    DemandSource,
    ScalingDependencies,
    ServiceLoad,
)
from ladder_node.singleton_duties import DutyLostError
from ladder_policy.scaling import BurstScaling, Demand, TaskDemand
from ladder_standins.memory_table import MemoryTable

SERVICE = 'brewmind'
CENTRES = ('north', 'south', 'west')
BOOT_SECONDS = 4
HANDOVER_SECONDS = 3
TERM = LeaseTerm(2.2, 0.3, 0.5, takes_over_own_name=True)
LIMITS = ScalingLimits(
    1, 12, BOOT_SECONDS, 0.22, {'north': 1, 'south': 0.85, 'west': 1.2}
)


@dataclass
class Call:
    at: float
    holder: str
    token: int
    order: object


class FakePlatform:
    """
    Replicas that follow orders, listed by all registries.

    `faults` holds the fate of the next calls; see `FakeCloud`. No replicas are
    to be had in the pools of `dry`. With `fence` lower tokens are refused.
    """

    def __init__(self, timers):
        self.timers = timers
        self.calls = []
        self.faults: deque[CallOutcome | float] = deque()
        self.dry = set()
        self.registries = []
        self.replicas = {}
        self.highest_token = 0
        self.started = 0
        self.events = []

    def add_faults(self, fault, count):
        self.faults.extend(fault for _ in range(count))

    def count(self, data_centre=None, is_spot=None):
        return len(self.list_pool(data_centre, is_spot))

    def list_pool(self, data_centre=None, is_spot=None):
        return [
            replica
            for replica in self.replicas.values()
            if not replica.is_leaving
            and data_centre in {None, replica.data_centre}
            and is_spot in {None, replica.is_spot}
        ]

    def add(self, data_centre, is_spot=False):
        self.started += 1
        name = f'r{self.started}'
        replica = Replica(
            name,
            SERVICE,
            f'{name}:1',
            data_centre,
            6,
            started_at=self.started,
            is_spot=is_spot,
        )
        self.replicas[name] = replica
        self.publish()

    def remove(self, name):
        self.replicas.pop(name, None)
        self.publish()

    def publish(self):
        for registry in self.registries:
            registry.replace(self.replicas.values(), 0)

    def reclaim(self, data_centre):
        """Announce that all spot replicas of a data centre leave in 2 s."""
        for replica in self.list_pool(data_centre, is_spot=True):
            self.replicas[replica.name] = replace(
                replica, is_leaving=True, leaves_in_seconds=2
            )
            self.schedule(2, self.remove, replica.name)
        self.dry.add((data_centre, True))
        self.schedule(10, self.dry.discard, (data_centre, True))
        self.publish()

    def apply(self, token, order):
        """Carry an order out; return whether it was accepted."""
        if token < self.highest_token:
            return False
        self.highest_token = token
        pool = self.list_pool(order.data_centre, order.is_spot)
        if order.count > len(pool):
            if (order.data_centre, order.is_spot) in self.dry:
                return False
            for _ in range(order.count - len(pool)):
                self.schedule(
                    BOOT_SECONDS, self.add, order.data_centre, order.is_spot
                )
        for replica in pool[order.count :]:
            self.replicas[replica.name] = replace(replica, is_leaving=True)
            self.schedule(20, self.remove, replica.name)
        self.publish()
        return True

    def schedule(self, seconds, action, *arguments):
        self.events.append((self.timers.now() + seconds, action, arguments))

    def run_due(self):
        for event in tuple(self.events):
            due, action, arguments = event
            if due <= self.timers.now():
                self.events.remove(event)
                action(*arguments)


class FakeCloud(CloudClient):
    """
    Makes the calls of one node.

    A fault is an outcome, or the seconds after which an order without an
    answer takes effect. `hold` keeps all calls on their way until it is set.
    """

    def __init__(self, platform):
        self.platform = platform
        self.hold = None

    async def report_usage(self, holder, window, counts):
        raise AssertionError('the autoscaler reports no usage')

    async def order_replicas(self, holder, order):
        platform = self.platform
        platform.calls.append(
            Call(platform.timers.now(), holder.name, holder.token, order)
        )
        if self.hold is not None:
            await self.hold.wait()
        fault = platform.faults.popleft() if platform.faults else None
        if isinstance(fault, CallOutcome):
            return fault
        if fault is not None:
            platform.schedule(fault, platform.apply, holder.token, order)
            return CallOutcome.unknown
        is_accepted = platform.apply(holder.token, order)
        return CallOutcome.done if is_accepted else CallOutcome.refused


class FakeDemand(DemandSource):
    def __init__(self):
        self.tasks = 0
        self.running = {}
        self.is_known = True

    def measure(self, service):
        if not self.is_known:
            return ServiceLoad(None)
        task = TaskDemand(2000, 7.5)
        demand = Demand((task,) * self.tasks, 0.0007, 6)
        return ServiceLoad(demand, self.running)


class ScalingNode:
    """A node that runs its autoscaler whenever it holds the lease."""

    def __init__(self, name, timers, rows, platform, demand):
        self.name = name
        self.timers = timers
        self.timeline = Timeline(name, HybridClock(timers))
        self.table = MemoryTable(timers)
        self.table._rows = rows
        self.leases = LeaseManager(
            self.table, LeaseHolder(name, name), timers, self.timeline, TERM
        )
        self.registry = ReplicaRegistry(timers, self.timeline)
        self.routes = RouteCache(self.timeline)
        self.routes.offer(make_routes())
        self.cloud = FakeCloud(platform)
        self.demand = demand
        self.autoscaler = Autoscaler(
            ScalingDependencies(
                name,
                self.cloud,
                self.registry,
                self.routes,
                self.find_holder,
                HANDOVER_SECONDS,
                BurstScaling,
                timers,
                self.timeline,
            )
        )
        self.ends = []
        self.is_holder_unread = False
        self._task = None

    async def start(self):
        await self.leases.start()
        self._task = asyncio.ensure_future(self._run())

    async def close(self):
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            self._task = None
        await self.leases.close()

    async def find_holder(self, name):
        if self.is_holder_unread:
            raise StoreUnavailableError('down', remedy='wait')
        return await self.leases.find_holder(name)

    def list_events(self, kind):
        events = self.timeline.read(HybridTime(), 9999)
        return [event for event in events if event.kind == kind]

    async def _run(self):
        while True:
            lease = await self.leases.acquire('batches')
            if lease is not None:
                try:
                    await self.autoscaler.run(lease, self.demand)
                except DutyLostError as error:
                    self.ends.append(error)
            await self.timers.sleep(0.3)


def make_routes(limits=LIMITS, revision=1, kind=RouteKind.batch):
    shares = (ServiceShare(SERVICE),)
    routes = [
        Route('notes', 'pub.example', '/notes/', RouteKind.batch, shares),
        Route('more', 'pub.example', '/more/', kind, shares),
    ]
    service = ServiceEntry(SERVICE, slots=6, scaling=limits)
    return RouteTable(revision, routes, [service], CallerLimits())


class ScalingDeployment:
    def __init__(self, timers, regular=1, nodes=('a',)):
        self.timers = timers
        self.platform = FakePlatform(timers)
        self.demand = FakeDemand()
        rows = MemoryTable(timers).rows
        self.nodes = {
            name: ScalingNode(name, timers, rows, self.platform, self.demand)
            for name in nodes
        }
        self.platform.registries = [
            node.registry for node in self.nodes.values()
        ]
        for data_centre in CENTRES:
            for _ in range(regular):
                self.platform.add(data_centre)

    @property
    def calls(self):
        return self.platform.calls

    async def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            await self.timers.advance(0.1)
            self.platform.run_due()

    async def close(self):
        for node in self.nodes.values():
            await node.close()
