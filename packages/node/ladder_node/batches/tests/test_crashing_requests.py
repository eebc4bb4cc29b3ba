"""
Guards against requests that crash one replica after another.

A request under which three replicas had crashed was sent to replicas again
with each attempt of its caller, each run of its batch and each scoring of its
text, and crashed every one of them (incident BUDGET).
"""

import asyncio
import contextlib

import pytest

from ladder_clients.replicas import CallerRequest
from ladder_core.errors import LadderError
from ladder_node.batches.tests.fakes import HOST, FakeDeployment, make_batch
from ladder_node.batches.tests.replica_processes import (
    change_address,
    change_name,
    keep_address,
)

CRASHING_BODY = b'crash'
NODES = ('a', 'b', 'c')
# The bounds of the platform: runs later than this after the third crash count,
# and more than this number of them is too many.
GRACE_SECONDS = 4
MAX_LATE_RUNS = 3
MIN_CRASHES = 3
RESTARTS = (keep_address, change_name, change_address)


@pytest.fixture
async def deployment():
    made = FakeDeployment(NODES, engines=4, scorers=4)
    made.processes.crashing.add(CRASHING_BODY)
    await made.start()
    yield made
    await made.close()


def count_late_runs(deployment):
    """Return the number of runs that the platform counts against the fleet."""
    times = [
        time
        for time, body in deployment.processes.runs
        if body == CRASHING_BODY
    ]
    if len(times) < MIN_CRASHES:
        return 0
    counted_from = times[MIN_CRASHES - 1] + GRACE_SECONDS
    return sum(time > counted_from for time in times)


async def call(node, number, body=CRASHING_BODY):
    route = node.routes.require().find_route(HOST, '/score/')
    request = CallerRequest(
        f'attempt-{number}',
        b'POST',
        b'/score/7',
        ((b'host', HOST.encode()),),
        body,
    )
    return await node.forwarder.forward(route, request, 2)


async def call_repeatedly(deployment, attempts):
    """Send the request under new ids, to one node after another."""
    calls = []
    for number in range(attempts):
        node = deployment.nodes[NODES[number % len(NODES)]]
        calls.append(asyncio.ensure_future(call(node, number)))
        await deployment.advance(0.5)
    await deployment.advance(2)
    for one in calls:
        with contextlib.suppress(LadderError):
            await one


@pytest.mark.parametrize('rename', RESTARTS)
async def test_request_that_crashes_replicas_is_not_sent_without_end(
    deployment, rename
):
    deployment.processes.rename = rename
    await call_repeatedly(deployment, 60)
    assert len(deployment.processes.crashes) >= MIN_CRASHES
    assert count_late_runs(deployment) <= MAX_LATE_RUNS


@pytest.mark.parametrize('rename', RESTARTS)
async def test_task_that_crashes_engines_is_not_run_without_end(
    deployment, rename
):
    deployment.processes.rename = rename
    tasks = crash_in_body(make_batch(groups=2).tasks)
    for number in range(4):
        batch = make_batch(f'b{number}', tasks=tasks)
        await deployment.submit(batch)
        await deployment.advance(12)
        await deployment.nodes['a'].batch_api.end(batch.batch_id)
    assert len(deployment.processes.crashes) >= MIN_CRASHES
    assert count_late_runs(deployment) <= MAX_LATE_RUNS


@pytest.mark.parametrize('rename', RESTARTS)
async def test_scoring_that_crashes_scorers_is_not_called_without_end(
    deployment, rename
):
    deployment.processes.rename = rename
    tasks = crash_in_scorer(make_batch().tasks)
    await deployment.submit(make_batch(tasks=tasks))
    await deployment.advance(38)
    assert len(deployment.processes.crashes) >= MIN_CRASHES
    assert count_late_runs(deployment) <= MAX_LATE_RUNS


def crash_in_body(tasks):
    return tuple(
        type(task)(
            task.task_id,
            task.group,
            task.target,
            task.headers,
            CRASHING_BODY if task is tasks[0] else task.body,
            task.model,
            task.max_tokens,
            scorer=task.scorer,
        )
        for task in tasks
    )


def crash_in_scorer(tasks):
    return tuple(
        type(task)(
            task.task_id,
            task.group,
            task.target,
            task.headers,
            task.body,
            task.model,
            task.max_tokens,
            scorer=type(task.scorer)(
                task.scorer.call_id,
                task.scorer.host,
                task.scorer.target,
                CRASHING_BODY if task is tasks[0] else b'text',
            ),
        )
        for task in tasks
    )
