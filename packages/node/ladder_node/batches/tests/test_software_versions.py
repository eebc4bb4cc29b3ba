"""
Guards against texts with events of two software versions of the engines.

Engines of two versions serve side by side. What they write doesn't fit
together, so a text goes on at its version or starts anew, whatever ended its
earlier run (incident ORDER of issue 25).
"""

import re
from dataclasses import replace

import pytest

from ladder_clients.table import Row
from ladder_node.batches.drafts import join_pieces
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
        node.engines.seconds = {'e0': 0.1, 'e2': 0.1, 'e1': 0.04, 'e3': 0.04}
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


async def test_process_that_started_again_under_the_same_name_joins_no_text(
    deployment,
):
    """
    Guards against texts that go on at a process that is taken for another.

    A process started again under its name with other software, and answered
    before its entry was read.
    """
    await submit(deployment)
    for node in deployment.nodes.values():
        node.replica_registry.change([], ['e1', 'e2', 'e3'])
        node.engines.faults = {
            f'b-g0-{number}': [20] for number in range(TASKS)
        }
    await deployment.advance(1.5)
    impostor = replace(
        find_replica(deployment, 'e0'),
        started_at=99,
        software_version='-new',
    )
    for node in deployment.nodes.values():
        node.engines.find_software = lambda replica: '-new'
    await deployment.advance(1.5)
    assert count_resumed(deployment)
    for node in deployment.nodes.values():
        node.replica_registry.change([impostor], ())
    await deployment.advance(20)
    await check_texts(deployment)


def test_rows_of_an_earlier_build_name_no_software():
    row = Row('batch_drafts', 'b/t/00000001-0000/000001', '[1,["x"],[1]]', 1)
    draft = join_pieces([row])['t']
    assert draft.event_texts == ['x']
    assert not draft.fits_software('v1')
    assert not draft.fits_software('')
