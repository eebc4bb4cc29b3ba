"""Fakes of engines, scorers, table and object store for step tests."""

import asyncio
import contextlib
import hashlib

import msgspec

from ladder_clients.engines import Chunk, EngineClient, EngineState
from ladder_clients.platform import ObjectStore
from ladder_clients.services import ServiceClient, ServiceResponse
from ladder_clients.table import (
    Outcome,
    Row,
    StoreOutcomeUnknownError,
    TableClient,
)
from ladder_core.errors import StoreUnavailableError, TargetLostError
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import Allowance, Group, HostEntry, HostKind
from ladder_node.dispatch import GenerationDispatcher, ServiceDispatcher
from ladder_node.leases import LeaseHolder, LeaseManager
from ladder_node.steps import (
    HeldGroups,
    Pull,
    RunnerFactory,
    StepCapacity,
    StepCatalog,
    StepRegistry,
    StepSpec,
    StepStore,
    TrainerLeases,
)
from ladder_node.targets import TargetTable
from ladder_policy.routing import LeastLoadedChooser

ALLOWANCE = Allowance('notes', ('brewmind',), ('cask',))
CHUNKS = 4
CHUNK_TOKENS = 2
CHUNK_SECONDS = 1


class FakeEngines(EngineClient):
    """Engines by address; each has a weight version and may fail."""

    def __init__(self, timers, names):
        self.timers = timers
        self.versions = dict.fromkeys(names, 0)
        self.running = dict.fromkeys(names, 0)
        self.peak = 0
        self.started = []
        self.lost = set()
        self.slow = {}
        self.failing = {}
        self.missing_tokens = 0

    async def generate(self, address, request):
        self.started.append(request)
        self.running[address] += 1
        self.peak = max(self.peak, sum(self.running.values()))
        try:
            async for chunk in self._stream(address, request):
                yield chunk
        finally:
            self.running[address] -= 1

    async def cancel(self, address, request_id):
        """Do nothing."""

    async def read_state(self, address):
        return EngineState(self.versions[address])

    async def order(self, address, order):
        raise NotImplementedError

    async def _stream(self, address, request):
        error = self.failing.get(request.prompt)
        if error is not None:
            raise error
        total = CHUNKS * CHUNK_TOKENS
        for position in range(request.prefix_tokens, total, CHUNK_TOKENS):
            seconds = CHUNK_SECONDS * self.slow.get(address, 1)
            await self.timers.sleep(seconds)
            if address in self.lost:
                raise TargetLostError('lost', remedy='go on elsewhere')
            yield Chunk(
                request.request_id,
                f'{request.seed}.{position} ',
                CHUNK_TOKENS,
                self.versions[address],
            )
        yield Chunk(
            request.request_id,
            end=True,
            total_tokens=total + self.missing_tokens,
        )


class FakeServices(ServiceClient):
    """A scorer that gives every text the same score."""

    def __init__(self):
        self.errors = []

    async def call(self, address, request):
        if self.errors:
            raise self.errors.pop()
        body = msgspec.json.encode({'score': 1})
        return ServiceResponse(200, body, 'application/json')


class FakeTable(TableClient):
    """Rows in memory; may be unavailable or lose responses to commits."""

    def __init__(self):
        self.rows = {}
        self.writes = 0
        self.revision = 0
        self.is_down = False
        self.lost_answers = 0

    async def read(self, table, key):
        self.check()
        return self.rows.get((table, key))

    async def scan(self, table, prefix=''):
        self.check()
        return [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key.startswith(prefix)
        ]

    async def commit(self, transaction):
        self.check()
        conflicts = [
            self.rows.get((one.table, one.key), Row(one.table, one.key, '', 0))
            for one in transaction.conditions
            if not self.holds(one)
        ]
        if conflicts:
            return Outcome(committed=False, conflicts=tuple(conflicts))
        self.revision += 1
        for write in transaction.writes:
            self.write(write)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreOutcomeUnknownError('lost', remedy='read it back')
        return Outcome(committed=True, revision=self.revision)

    async def read_outcome(self, token):
        raise NotImplementedError

    def check(self):
        if self.is_down:
            raise StoreUnavailableError('out', remedy='wait')

    def holds(self, condition):
        row = self.rows.get((condition.table, condition.key))
        revision = row.revision if row else 0
        return condition.revision == revision

    def write(self, write):
        self.writes += 1
        position = (write.table, write.key)
        self.rows.pop(position, None)
        if write.body is not None:
            self.rows[position] = Row(*position, write.body, self.revision)


class FakeObjects(ObjectStore):
    """Objects in memory; may be unavailable."""

    def __init__(self):
        self.bodies = {}
        self.puts = []
        self.is_down = False

    async def put(self, name, body):
        self.check()
        self.puts.append(name)
        self.bodies[name] = body

    async def get(self, name):
        self.check()
        return self.bodies.get(name)

    async def delete(self, name):
        self.check()
        self.bodies.pop(name, None)

    def check(self):
        if self.is_down:
            raise StoreUnavailableError('out', remedy='wait')


class FakeNode:
    """The step components of one node, on the shared fakes of a cluster."""

    def __init__(self, cluster, name):
        self.address = f'{name}:1'
        self.timeline = Timeline(name, HybridClock(cluster.timers))
        self.leases = LeaseManager(
            cluster.table,
            LeaseHolder(name, self.address),
            cluster.timers,
            self.timeline,
        )
        trainer_leases = TrainerLeases(self.leases, self.address)
        store = StepStore(cluster.table, cluster.objects)
        self.registry = StepRegistry(
            RunnerFactory(
                cluster.generations,
                ServiceDispatcher(cluster.targets, cluster.services),
                StepCapacity(cluster.targets),
                cluster.timers,
                self.timeline,
            ),
            StepCatalog(store, trainer_leases, self.timeline),
            trainer_leases,
            cluster.timers,
        )

    async def start(self):
        await self.leases.start()
        await self.registry.start()

    async def close(self):
        await self.registry.close()
        await self.leases.close()

    async def pause(self):
        """Stop all periodic work, as when the process is killed or paused."""
        for component in (self.leases, self.registry):
            assert component._periodic_call is not None
            await component._periodic_call.close()

    async def resume(self):
        """Restart the periodic work after a pause."""
        await self.leases.start()
        await self.registry.start()

    async def open(self, spec, unreachable_address=''):
        return await self.registry.open(spec, ALLOWANCE, unreachable_address)

    async def find(self, step=0, unreachable_address=''):
        return await self.registry.find(
            'cask-notes',
            step,
            ALLOWANCE,
            unreachable_address,
        )

    def list_kinds(self):
        return [event.kind for event in self.timeline.read(HybridTime(), 999)]


class FakeCluster:
    """Nodes on shared fakes of engines, scorer, table and object store."""

    def __init__(self, engines=('e1', 'e2'), batch_limit=4, nodes=1):
        self.timers = ManualTimerService()
        self.table = FakeTable()
        self.objects = FakeObjects()
        timeline = Timeline('targets', HybridClock(self.timers))
        self.targets = TargetTable(self.timers, timeline)
        hosts = [make_entry(name, HostKind.engine) for name in engines]
        hosts.append(make_entry('scorer', HostKind.scorer))
        self.targets.update_hosts(hosts)
        state = EngineState(0, batch_limit=batch_limit)
        for name in engines:
            self.targets.update_state(name, state)
        self.engines = FakeEngines(self.timers, engines)
        self.services = FakeServices()
        self.generations = GenerationDispatcher(
            self.targets,
            self.engines,
            LeastLoadedChooser(),
            self.timers,
        )
        self.nodes = [FakeNode(self, f'n{index}') for index in range(nodes)]

    @property
    def registry(self):
        return self.nodes[0].registry

    def disconnect_store(self, *, is_down=True):
        self.table.is_down = is_down
        self.objects.is_down = is_down

    async def open(self, spec):
        return await self.nodes[0].open(spec)

    def list_kinds(self):
        return self.nodes[0].list_kinds()


def make_entry(name, kind):
    pool = 'brewmind' if kind is HostKind.engine else 'scorers'
    return HostEntry(
        name, kind, name, 'leith', 'lowlands', pool=pool, model='cask'
    )


def make_spec(step=0, groups=2, size=2, prompts=None):
    prompts = prompts or tuple(f'p{index}' for index in range(groups))
    return StepSpec('notes', 'cask-notes', step, 'cask', prompts, size, 64)


def make_pull(version=0, held=(), wait_seconds=0):
    bits = sum(1 << index for index in held)
    return Pull(version, HeldGroups(bits), wait_seconds)


async def pull_all(cluster, runner, groups=2, version=0, versions=1):
    """Pull as a trainer does until all groups are held; return them."""
    held: dict[int, Group] = {}
    while len(held) < groups:
        pull = make_pull(version, tuple(held), wait_seconds=5)
        task = asyncio.create_task(runner.pull(pull, bound(versions)))
        await cluster.timers.advance(6)
        for group in (await task).groups:
            assert group.index not in held
            held[group.index] = group
    return held


def bound(versions):
    return lambda: versions


def hash_secret(secret):
    return hashlib.sha256(secret.encode()).hexdigest()


@contextlib.asynccontextmanager
async def run_cluster(**options):
    """Yield a started cluster; close its nodes at the end."""
    cluster = FakeCluster(**options)
    for node in cluster.nodes:
        await node.start()
    try:
        yield cluster
    finally:
        cluster.disconnect_store(is_down=False)
        for ending in cluster.nodes:
            await ending.close()
