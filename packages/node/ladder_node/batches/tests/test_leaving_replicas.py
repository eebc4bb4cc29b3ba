"""Texts on replicas that the platform takes back at short notice."""

from collections import Counter
from dataclasses import replace

from ladder_core.values import Replica
from ladder_node.batches.tests.fakes import (
    MODEL,
    SOFTWARE,
    FakeDeployment,
    make_batch,
    make_task,
)


async def start_batch(engines, events=50, expected_events=50):
    """Start four long texts at engine e0, and list the other engines."""
    deployment = FakeDeployment(engines=1)
    await deployment.start()
    node = deployment.nodes['a']
    node.engines.seconds = dict.fromkeys(('e0', 'e1'), 0.04)
    names = [f'b-g0-{number}' for number in range(4)]
    tasks = tuple(
        make_task(name, 'b-g0', 50 * expected_events) for name in names
    )
    batch = make_batch(tasks=tasks)
    for task in batch.tasks:
        node.engines.lengths[task.task_id] = events
    await deployment.submit(batch)
    await deployment.advance(0.6)
    others = [
        Replica(
            f'e{number}',
            'brewmind',
            f'e{number}:1',
            'leith',
            8,
            versions={MODEL: 1},
            software_version=SOFTWARE,
        )
        for number in range(1, engines)
    ]
    node.replica_registry.change(others, [])
    return deployment


async def leave(deployment, leaves_in_seconds):
    """Announce that e0 leaves, and end it when the time is over."""
    registry = deployment.nodes['a'].replica_registry
    replica = replace(
        registry.find('e0').replica,
        is_leaving=True,
        leaves_in_seconds=leaves_in_seconds,
    )
    registry.change([replica], [])
    return replica


def list_moves(deployment):
    events = deployment.nodes['a'].list_events('task-moved')
    return Counter(event.fields['reason'] for event in events)


def list_engines(deployment):
    return {name for name, _, _ in deployment.nodes['a'].engines.running}


async def test_texts_go_on_elsewhere_before_their_replica_is_taken_back():
    """Guards against runs that break, which counts as a failure."""
    deployment = await start_batch(engines=2)
    replica = await leave(deployment, 2)
    await deployment.advance(0.3)
    assert list_engines(deployment) == {'e1'}
    await deployment.advance(1.7)
    deployment.processes.end(replica)
    await deployment.advance(2)
    assert list_moves(deployment) == {'leaving': 4}
    results = await deployment.read('b')
    assert len(results) == 4
    for result in results:
        parts = [f'{result.task_id}.{number}' for number in range(1, 51)]
        assert result.text == '\n'.join(parts)
    resumed = [run for run in deployment.nodes['a'].engines.runs if run[2]]
    assert len(resumed) == 4
    await deployment.close()


async def test_text_that_ends_in_time_stays():
    """Guards against moves of texts that are nearly complete."""
    deployment = await start_batch(2, events=18, expected_events=18)
    await leave(deployment, 3)
    await deployment.advance(1)
    assert not list_moves(deployment)
    assert len(await deployment.read('b')) == 4
    await deployment.close()


async def test_texts_without_another_slot_run_on_until_just_before():
    """Guards against texts that stand still while their replica serves."""
    deployment = await start_batch(engines=1)
    await leave(deployment, 2.5)
    await deployment.advance(1.2)
    assert not list_moves(deployment)
    await deployment.advance(0.3)
    assert list_moves(deployment) == {'leaving': 4}
    await deployment.close()


async def test_text_that_outgrows_its_estimate_leaves_just_before():
    """Guards against runs that break since an estimate was too short."""
    deployment = await start_batch(2, events=90, expected_events=30)
    await leave(deployment, 2.5)
    await deployment.advance(0.2)
    assert list_engines(deployment) == {'e0'}
    await deployment.advance(1.3)
    assert list_engines(deployment) == {'e1'}
    assert list_moves(deployment) == {'leaving': 4}
    await deployment.close()


async def test_draining_replica_without_a_departure_keeps_its_texts():
    """Guards against moves from replicas that are scaled in slowly."""
    deployment = await start_batch(engines=2)
    await leave(deployment, None)
    await deployment.advance(3)
    assert not list_moves(deployment)
    assert len(await deployment.read('b')) == 4
    await deployment.close()


async def test_no_new_task_goes_to_a_replica_that_is_taken_back():
    """Guards against tasks whose replica leaves before they end."""
    deployment = await start_batch(engines=2)
    await leave(deployment, 2.5)
    engines = deployment.nodes['a'].engines
    before = len(engines.runs)
    await deployment.submit(make_batch('c'))
    await deployment.advance(0.5)
    assert {name for name, _, _ in engines.runs[before:]} == {'e1'}
    await deployment.close()
