"""
Engines whose capacity is learned from the times of their events.

Guards against more tasks at an engine than it handles well, and against texts
that leave an engine for a disturbance that is over before they have moved.
"""

import contextlib
from dataclasses import replace

import pytest

from ladder_node.batches.engines import EngineTracker
from ladder_node.batches.tests.fakes import (
    FakeDeployment,
    make_batch,
    make_task,
)
from ladder_policy.capacity import CapacityMode

SLOTS = 6
TOKEN_SECONDS = 0.0007


@pytest.fixture
async def node():
    deployment = FakeDeployment(engines=2, slots=SLOTS)
    await deployment.start()
    yield deployment.nodes['a']
    await deployment.close()


def run_texts(engine, now, knee):
    """Feed the events of texts that begin together and end one by one."""
    engine.update_limit(now)
    tasks = [f't{number}' for number in range(engine.free_slots)]
    for task in tasks:
        engine.add_task(task, 'cask', task)
        engine.record_begin(task)
    now += 1
    while engine.running:
        running = len(engine.running)
        for _ in range(60):
            now += 0.01
            factor = max(running, knee) / knee
            engine.observe_token_time(TOKEN_SECONDS * factor, now)
        engine.remove_task(tasks.pop())
    return now


def find_free_slots(node, knee, mode):
    engines = EngineTracker(node.replica_registry, node.engines, mode)
    engine = engines.list_usable('brewmind', 1000)[0]
    now = 1000
    for _ in range(60):
        now = run_texts(engine, now, knee)
    engine.update_limit(now=1005)
    return engine.free_slots


async def test_load_with_a_knee_at_half_of_the_slots(node):
    assert find_free_slots(node, 3, CapacityMode.learned) == 3
    assert find_free_slots(node, 3, CapacityMode.fixed) == SLOTS


async def test_load_on_an_engine_that_gains_from_being_full(node):
    assert find_free_slots(node, SLOTS, CapacityMode.learned) == SLOTS


def make_long_batch():
    """Return three texts, of which two run on the same engine."""
    tasks = tuple(
        make_task(f't{number}', 'g', expected_tokens=8000)
        for number in range(3)
    )
    return make_batch(tasks=tasks)


@contextlib.asynccontextmanager
async def run_long_batch(mode):
    """Yield the deployment and the engine that runs two of three texts."""
    deployment = FakeDeployment(engines=2, slots=2)
    owner = deployment.nodes['a'].owner
    owner._dependencies = replace(owner._dependencies, capacity_mode=mode)
    await deployment.start()
    engines = deployment.nodes['a'].engines
    engines.seconds = {'e0': 0.04, 'e1': 0.04}
    engines.lengths = {f't{number}': 160 for number in range(3)}
    await deployment.submit(make_long_batch())
    await deployment.advance(1.5)
    names = [run[0] for run in engines.running]
    yield deployment, max(set(names), key=names.count)
    await deployment.close()


@pytest.mark.parametrize(
    ('mode', 'has_moved'),
    [(CapacityMode.learned, False), (CapacityMode.fixed, True)],
)
async def test_load_with_disturbances_of_some_tenths_of_a_second(
    mode, has_moved
):
    async with run_long_batch(mode) as (deployment, engine):
        engines = deployment.nodes['a'].engines
        for _ in range(4):
            engines.seconds[engine] = 0.1
            await deployment.advance(0.3)
            engines.seconds[engine] = 0.04
            await deployment.advance(0.6)
        assert (len(engines.runs) > 3) is has_moved


async def test_load_with_an_engine_that_turns_slow_for_seconds():
    """Guards against a text that is late as its engine turned slow."""
    async with run_long_batch(CapacityMode.learned) as (deployment, engine):
        engines = deployment.nodes['a'].engines
        engines.seconds[engine] = 0.14
        await deployment.advance(1.2)
        assert [run[0] for run in engines.running].count(engine) == 1
