"""
Guards against tasks that are lost or failed for want of permits.

Replicas that limit the rate of requests deny most of them. Tasks and scoring
calls are owed, so they wait for a permit, whatever the number of denials.
"""

import pytest

from ladder_node.batches.records import TaskState
from ladder_node.batches.tests.fakes import FakeDeployment, make_batch


@pytest.fixture
async def deployment():
    made = FakeDeployment(engines=2, scorers=2)
    await made.start()
    yield made
    await made.close()


def limit(deployment, service, rate, count=2):
    node = deployment.nodes['a']
    records = node.replica_registry.list_service(service)
    for record in records[:count]:
        node.engines.limits.rates[record.name] = rate


async def test_tasks_wait_for_permits_without_an_attempt_counted(deployment):
    limit(deployment, 'brewmind', 0.5)
    await deployment.submit(make_batch(size=6))
    await deployment.advance(9)
    results = await deployment.read('b')
    assert [result.state for result in results] == 6 * [TaskState.completed]
    node = deployment.nodes['a']
    assert len(node.engines.runs) == 6
    assert not node.list_events('task-given-up')


async def test_waiting_tasks_do_not_try_denied_engines_again(deployment):
    limit(deployment, 'brewmind', 0.5)
    await deployment.submit(make_batch(size=6))
    await deployment.advance(9)
    engines = deployment.nodes['a'].engines
    assert engines.limits.denials <= 6


async def test_tasks_go_to_engines_without_a_limit(deployment):
    limit(deployment, 'brewmind', 0.1, count=1)
    await deployment.submit(make_batch(size=6))
    await deployment.advance(2)
    results = await deployment.read('b')
    assert [result.state for result in results] == 6 * [TaskState.completed]


async def test_scoring_calls_wait_for_permits(deployment):
    limit(deployment, 'taproom', 0.5)
    await deployment.submit(make_batch(size=6))
    await deployment.advance(12)
    results = await deployment.read('b')
    assert [result.state for result in results] == 6 * [TaskState.completed]
    assert len(deployment.nodes['a'].engines.calls) == 6
