import asyncio

import pytest

from ladder_clients.engines import Chunk, EngineClient
from ladder_clients.probes import TargetProbe
from ladder_core.errors import (
    Execution,
    LadderError,
    OverloadedError,
    PoisonousRequestError,
    TargetLostError,
    TargetUnavailableError,
)
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind
from ladder_node.dispatch import (
    CrashGuard,
    Generation,
    GenerationDispatcher,
    MemorySuspectRegistry,
    SuspicionState,
    UnguardedRequests,
)
from ladder_node.dispatch.suspect_registry import make_request_digest
from ladder_node.targets import TargetTable
from ladder_policy.routing import LeastLoadedChooser

POISON = 'poison'
NODES = 9
ENGINES = 12


class Engines(EngineClient, TargetProbe):
    """In-process engines, each of which a poisonous prompt crashes."""

    def __init__(self):
        self.crashed = set()
        self.break_all = False
        self.go_on = asyncio.Event()

    async def generate(self, address, request):
        if address in self.crashed:
            raise TargetUnavailableError('refused', remedy='none')
        yield Chunk(request.request_id, 'a', 1)
        await asyncio.sleep(0)
        if request.prompt == POISON:
            self.crashed.add(address)
        else:
            await self.go_on.wait()
        if address in self.crashed or self.break_all:
            raise TargetLostError('lost', remedy='none')
        yield Chunk(request.request_id, end=True, total_tokens=1)

    async def is_gone(self, address):
        return address in self.crashed

    async def cancel(self, address, request_id):
        """Ignore it."""

    async def read_state(self, address):
        raise NotImplementedError

    async def order(self, address, order):
        raise NotImplementedError


def make_node(engines, registry, timers, is_guarded=True):
    timeline = Timeline('node', HybridClock(timers))
    targets = TargetTable(timers, timeline)
    targets.update_hosts(
        HostEntry(
            f'e-{index}', HostKind.engine, f'a:{index}', 'd', 'r', model='m'
        )
        for index in range(ENGINES)
    )
    guard = CrashGuard(registry, engines, timers, timeline)
    return GenerationDispatcher(
        targets,
        engines,
        LeastLoadedChooser(),
        timers,
        guard if is_guarded else UnguardedRequests(),
    )


async def run(node, prompt):
    wanted = Generation('m', ('',), (), prompt, 1)
    return [chunk async for chunk in node.generate(wanted)]


async def count_lost(is_guarded):
    """Send a poisonous request to every node while others are in flight."""
    timers = ManualTimerService()
    engines, registry = Engines(), MemorySuspectRegistry(timers)
    nodes = [
        make_node(engines, registry, timers, is_guarded) for _ in range(NODES)
    ]
    bystanders = [
        asyncio.create_task(run(nodes[index % NODES], f'prompt {index}'))
        for index in range(2 * NODES)
    ]
    await timers.settle()
    errors = []
    for node in nodes:
        try:
            await run(node, POISON)
        except LadderError as error:
            errors.append(error)
    engines.go_on.set()
    while not all(task.done() for task in bystanders):
        await timers.advance(1)
    served = sum(task.exception() is None for task in bystanders)
    return len(engines.crashed), errors, served


async def test_request_sent_to_every_node_crashes_at_most_two_engines():
    lost, errors, served = await count_lost(is_guarded=True)
    assert lost <= 2
    assert served == 2 * NODES
    assert len(errors) == NODES
    assert all(isinstance(one, PoisonousRequestError) for one in errors)
    assert {one.execution for one in errors} == {Execution.ran}


async def test_bystanders_are_served_and_cleared():
    timers = ManualTimerService()
    engines, registry = Engines(), MemorySuspectRegistry(timers)
    node = make_node(engines, registry, timers)
    other = asyncio.create_task(run(node, 'bystander'))
    await timers.settle()
    engines.crashed.add('a:0')
    engines.go_on.set()
    await timers.settle()
    while not other.done():
        await timers.advance(1)
    assert [chunk.text for chunk in other.result()] == ['a', 'a', '']
    digest = make_request_digest('m', 'bystander')
    assert registry.read(digest) is SuspicionState.clear


async def test_broken_connection_to_a_live_engine_raises_no_suspicion():
    timers = ManualTimerService()
    engines, registry = Engines(), MemorySuspectRegistry(timers)
    engines.break_all = True
    engines.go_on.set()
    node = make_node(engines, registry, timers)
    with pytest.raises(TargetLostError):
        await run(node, 'bystander')
    digest = make_request_digest('m', 'bystander')
    assert registry.read(digest) is SuspicionState.clear


async def test_suspect_that_finds_no_free_engine_gets_its_answer():
    timers = ManualTimerService()
    engines, registry = Engines(), MemorySuspectRegistry(timers)
    node = make_node(engines, registry, timers)
    registry.write(make_request_digest('m', 'suspect'), SuspicionState.suspect)
    busy = [
        asyncio.create_task(run(node, f'prompt {index}'))
        for index in range(ENGINES)
    ]
    await timers.settle()
    waiting = asyncio.create_task(run(node, 'suspect'))
    while not waiting.done():
        await timers.advance(1)
    error = waiting.exception()
    assert isinstance(error, OverloadedError)
    assert error.retry_after
    engines.go_on.set()
    await asyncio.gather(*busy)


async def test_registry_forgets_suspicions_but_keeps_refusals():
    timers = ManualTimerService()
    registry = MemorySuspectRegistry(timers, max_entries=2)
    registry.write('a', SuspicionState.suspect)
    registry.write('b', SuspicionState.refused)
    registry.write('b', SuspicionState.clear)
    await timers.advance(3600)
    assert registry.read('a') is SuspicionState.clear
    assert registry.read('b') is SuspicionState.refused
    await timers.advance(86_400)
    assert registry.read('b') is SuspicionState.clear


async def test_work_of_a_step_is_run_whatever_crashed_under_its_prompt():
    """
    Guards against sound samples of a step that are refused for a day.

    Two engines end under a sample by chance, or under a caller's request with
    the same prompt.
    """
    timers = ManualTimerService()
    engines, registry = Engines(), MemorySuspectRegistry(timers)
    node = make_node(engines, registry, timers)
    digest = make_request_digest('m', 'sound')
    registry.write(digest, SuspicionState.refused)
    owed = Generation('m', ('',), (), 'sound', 1, is_owed=True)
    engines.go_on.set()
    assert [chunk async for chunk in node.generate(owed)][-1].end
    assert registry.read(digest) is SuspicionState.refused
    with pytest.raises(PoisonousRequestError):
        await run(node, 'sound')


async def test_crashes_under_the_work_of_a_step_make_no_suspect():
    timers = ManualTimerService()
    engines, registry = Engines(), MemorySuspectRegistry(timers)
    node = make_node(engines, registry, timers)
    owed = Generation('m', ('',), (), POISON, 1, is_owed=True)
    with pytest.raises(LadderError):
        async for _ in node.generate(owed):
            await timers.settle()
    assert engines.crashed
    digest = make_request_digest('m', POISON)
    assert registry.read(digest) is SuspicionState.clear
