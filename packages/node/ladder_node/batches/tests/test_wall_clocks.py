"""
Batches on hosts whose wall clocks differ by seconds, or jump.

The tests guard against an age taken from the wall clocks of two hosts: a new
holder of the lease gave tasks up before the end of their retention time,
treated a late step as a new one, and removed rows that were still needed.
"""

import pytest

from ladder_node.batches import BatchStore
from ladder_node.batches.cleaner import BatchCleaner
from ladder_node.batches.records import BATCHES_TABLE, TaskState, find_shard
from ladder_node.batches.tests.fakes import (
    HOST,
    PREFIX,
    FakeDeployment,
    make_batch,
    make_routes,
)

LONG_EVENTS = 400
STEP_SECONDS = 7.5
RETENTION_SECONDS = 40
JUMP_SECONDS = (-100, -11, 11, 100)


@pytest.fixture
async def deployment():
    made = FakeDeployment(nodes=('a', 'b'))
    await made.start()
    yield made
    await made.close()


def find_owner(deployment):
    return next(
        node
        for node in deployment.nodes.values()
        if 'duty-begun' in node.list_kinds()
    )


async def take_over(deployment):
    """Kill the lease holder; return the other node as the new holder."""
    owner = find_owner(deployment)
    other = next(
        node for node in deployment.nodes.values() if node is not owner
    )
    await owner.kill()
    deployment.alive.remove(owner.name)
    while 'duty-begun' not in other.list_kinds():
        await deployment.advance(0.1)
    return other


@pytest.mark.parametrize('jump_seconds', JUMP_SECONDS)
async def test_new_holder_finds_the_age_of_a_batch(deployment, jump_seconds):
    for node in deployment.nodes.values():
        node.engines.lengths['b-g0-0'] = LONG_EVENTS
    submitted_at = deployment.timers.now()
    await deployment.submit(make_batch())
    await deployment.advance(3)
    for node in deployment.nodes.values():
        node.timers.wall_offset_seconds = jump_seconds
    holder = await take_over(deployment)
    await deployment.advance(0.2)
    opened = holder.list_events('batch-opened')[0]
    age_seconds = float(opened.fields['age'])
    assert 3 <= age_seconds <= deployment.timers.now() - submitted_at


@pytest.mark.parametrize('jump_seconds', JUMP_SECONDS)
async def test_no_task_is_given_up_before_its_retention_time(
    deployment, jump_seconds
):
    owner = find_owner(deployment)
    owner.timers.wall_offset_seconds = jump_seconds
    for node in deployment.nodes.values():
        node.engines.lengths['b-g0-0'] = LONG_EVENTS * 10
    submitted_at = deployment.timers.now()
    await deployment.submit(make_batch(size=1), owner.name)
    holder = await take_over(deployment)
    elapsed = deployment.timers.now() - submitted_at
    await deployment.advance(RETENTION_SECONDS - elapsed - 1)
    assert not await deployment.read('b', node=holder.name)
    await deployment.advance(2)
    results = await deployment.read('b', node=holder.name)
    assert [result.state for result in results] == [TaskState.given_up]


@pytest.mark.parametrize('jump_seconds', JUMP_SECONDS)
async def test_rows_are_removed_by_their_true_age(deployment, jump_seconds):
    node = deployment.nodes['a']
    node.timers.wall_offset_seconds = jump_seconds
    store = BatchStore(deployment.table, deployment.objects, 'a', node.timers)
    route = make_routes().find_route(HOST, PREFIX)
    await store.accept(make_batch('old'), route)
    cleaner = BatchCleaner(
        deployment.table,
        deployment.objects,
        RETENTION_SECONDS,
        deployment.nodes['b'].timers,
        deployment.nodes['b'].timeline,
    )
    await deployment.timers.advance(2 * RETENTION_SECONDS - 1)
    await cleaner.clean()
    shard = find_shard('old')
    assert deployment.table.rows.find(BATCHES_TABLE, 'old', shard)
    await deployment.timers.advance(2)
    await cleaner.clean()
    assert not deployment.table.rows.find(BATCHES_TABLE, 'old', shard)
