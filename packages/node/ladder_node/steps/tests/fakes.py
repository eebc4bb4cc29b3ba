"""Fakes of engines and scorers for tests of steps on the manual clock."""

import asyncio
import contextlib
import hashlib

import msgspec

from ladder_clients.engines import Chunk, EngineClient, EngineState
from ladder_clients.services import PlainAnswer, PlainServiceClient
from ladder_core.errors import TargetLostError
from ladder_core.timeline import HybridClock, HybridTime, TimeLine
from ladder_core.timers import ManualTimerService
from ladder_core.values import Allowance, Group, HostEntry, HostKind
from ladder_node.dispatch import GenerationDispatcher, PlainDispatcher
from ladder_node.steps import (
    HeldGroups,
    Pull,
    StepCapacity,
    StepRegistry,
    StepSpec,
)
from ladder_node.targets import TargetTable
from ladder_policy.routing import LeastLoadedChooser

ALLOWANCE = Allowance('notes', ('brewmind',), ('cask',))
CHUNKS = 4
CHUNK_TOKENS = 2
CHUNK_SECONDS = 1


class FakeEngines(EngineClient):
    """Engines by address: each has a version and may fail."""

    def __init__(self, timers, names):
        self.timers = timers
        self.versions = dict.fromkeys(names, 0)
        self.running = dict.fromkeys(names, 0)
        self.peak = 0
        self.started = []
        self.losing = set()
        self.failing = {}
        self.cutting = 0

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
            await self.timers.sleep(CHUNK_SECONDS)
            if address in self.losing:
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
            total_tokens=total + self.cutting,
        )


class FakeServices(PlainServiceClient):
    """A scorer that gives every text one score."""

    def __init__(self):
        self.errors = []

    async def call(self, address, request):
        if self.errors:
            raise self.errors.pop()
        body = msgspec.json.encode({'score': 1})
        return PlainAnswer(200, body, 'application/json')


class World:
    """A step registry over fakes."""

    def __init__(self, engines=('e1', 'e2'), batch_limit=4):
        self.timers = ManualTimerService()
        self.timeline = TimeLine('n', HybridClock(self.timers))
        self.targets = TargetTable(self.timers, self.timeline)
        self.targets.update_hosts(
            [
                *(make_entry(name, HostKind.engine) for name in engines),
                make_entry('scorer', HostKind.scorer),
            ]
        )
        state = EngineState(0, batch_limit=batch_limit)
        for name in engines:
            self.targets.update_state(name, state)
        self.engines = FakeEngines(self.timers, engines)
        self.services = FakeServices()
        self.registry = self.make_registry()

    def make_registry(self):
        generations = GenerationDispatcher(
            self.targets,
            self.engines,
            LeastLoadedChooser(),
            self.timers,
        )
        return StepRegistry(
            generations,
            PlainDispatcher(self.targets, self.services),
            StepCapacity(self.targets),
            self.timers,
            self.timeline,
        )

    async def open(self, spec):
        return await self.registry.open(spec, ALLOWANCE)

    def list_kinds(self):
        return [event.kind for event in self.timeline.read(HybridTime(), 999)]


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


async def pull_all(world, runner, groups=2, version=0, versions=1):
    """Pull as a trainer does until it holds all groups, and return them."""
    held: dict[int, Group] = {}
    while len(held) < groups:
        pull = make_pull(version, tuple(held), wait_seconds=5)
        task = asyncio.create_task(runner.pull(pull, bound(versions)))
        await world.timers.advance(6)
        for group in (await task).groups:
            assert group.index not in held
            held[group.index] = group
    return held


def bound(versions):
    return lambda: versions


def hash_secret(secret):
    return hashlib.sha256(secret.encode()).hexdigest()


@contextlib.asynccontextmanager
async def run_world(**options):
    """Yield a world whose steps are closed at the end."""
    world = World(**options)
    try:
        yield world
    finally:
        await world.registry.close()
