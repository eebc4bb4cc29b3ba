"""
Guards against texts with events of two software versions of the engines.

Engines of two versions serve side by side. What they write doesn't fit
together, so a text goes on at its version or starts anew, whatever ended its
earlier run (incident ORDER of issue 25).
"""

import re

import pytest

from ladder_node.batches.records import TaskState
from ladder_node.batches.tests.fakes import FakeDeployment, make_batch
from ladder_node.batches.tests.replica_processes import change_address

SOFTWARE = ('-old', '-new')
EVENTS = 100
TASKS = 6
VERSION = re.compile('-old|-new')


@pytest.fixture
async def deployment():
    made = FakeDeployment(('a', 'b'), engines=4, slots=4, software=SOFTWARE)
    await made.start()
    yield made
    await made.close()


async def submit(deployment, events=EVENTS):
    batch = make_batch(size=TASKS)
    for node in deployment.nodes.values():
        for task in batch.tasks:
            node.engines.lengths[task.task_id] = events
    await deployment.submit(batch)


async def check_texts(deployment, node='a'):
    """Check that all texts are whole, each of one software version."""
    results = await deployment.read('b', node=node)
    assert [result.state for result in results] == TASKS * [TaskState.completed]
    for result in results:
        lines = result.text.split('\n')
        assert len(lines) == EVENTS
        assert len(set(VERSION.findall(result.text))) == 1


def list_running(deployment):
    return {
        run
        for node in deployment.nodes.values()
        for run in node.engines.running
    }


def find_replica(deployment, name):
    return deployment.nodes['a'].replica_registry.find(name).replica


def count_resumed(deployment):
    runs = [
        run for node in deployment.nodes.values() for run in node.engines.runs
    ]
    return sum(last_event > 0 for _, _, last_event in runs)


async def test_lost_connections_join_no_texts(deployment):
    for node in deployment.nodes.values():
        for number in range(TASKS):
            node.engines.faults[f'b-g0-{number}'] = [20, 40, 60]
    await submit(deployment)
    await deployment.advance(12)
    await check_texts(deployment)
    assert count_resumed(deployment) >= TASKS


async def test_ended_engines_join_no_texts(deployment):
    deployment.processes.rename = change_address
    await submit(deployment)
    for name in ('e0', 'e1'):
        await deployment.advance(1.5)
        deployment.processes.end(find_replica(deployment, name))
    await deployment.advance(12)
    await check_texts(deployment)


async def test_version_that_is_gone_ends_no_text(deployment):
    await submit(deployment)
    await deployment.advance(1.5)
    for node in deployment.nodes.values():
        node.replica_registry.change([], ['e0', 'e2'])
    for name in ('e0', 'e2'):
        deployment.processes._ended[name, 0] = (1e9, None)
    await deployment.advance(12)
    await check_texts(deployment)


async def test_moves_to_faster_engines_join_no_texts(deployment):
    await submit(deployment)
    await deployment.advance(1)
    for node in deployment.nodes.values():
        node.engines.seconds = {'e0': 0.4, 'e2': 0.4, 'e1': 0.04, 'e3': 0.04}
    await deployment.advance(20)
    await check_texts(deployment)


async def test_next_holder_joins_no_texts(deployment):
    await submit(deployment)
    await deployment.advance(2)
    holder = 'a' if deployment.nodes['a'].engines.running else 'b'
    other = {'a': 'b', 'b': 'a'}[holder]
    await deployment.nodes[holder].kill()
    deployment.nodes[other].replica_registry.change([], ['e0'])
    deployment.alive.remove(holder)
    await deployment.advance(16)
    await check_texts(deployment, other)
    assert count_resumed(deployment) >= 1


async def test_text_of_a_busy_version_starts_anew_after_a_while(deployment):
    """
    Guards against texts that wait for their version beside free engines.

    The engines of one version are full with long texts, so a text that lost
    its engine does better to start anew than to wait for them.
    """
    await submit(deployment, events=200)
    await deployment.advance(1)
    deployment.processes.end(find_replica(deployment, 'e0'))
    for node in deployment.nodes.values():
        node.replica_registry.change([], ['e2'])
    deployment.processes._ended['e2', 0] = (1e9, None)
    await deployment.advance(3)
    assert len(list_running(deployment)) == TASKS
