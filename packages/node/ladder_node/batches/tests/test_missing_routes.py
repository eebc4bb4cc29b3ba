"""
Routes that the holder of the batches does not know at some moment.

A configuration may leave a route out for a while, or the holder may have read
an older configuration than the node that accepted the batch. Items of such
batches were given up for good.
"""

import pytest

from ladder_core.errors import StoreUnavailableError
from ladder_core.values import RouteTable
from ladder_node.batches import TaskState
from ladder_node.batches.tests.fakes import (
    FakeDeployment,
    fail_run,
    make_batch,
    make_routes,
)

COMPLETED = [TaskState.completed for _ in range(4)]


@pytest.fixture
async def deployment():
    made = FakeDeployment()
    await made.start()
    yield made
    await made.close()


def offer_without(node, revision, name):
    """Give a node a configuration that leaves a route out."""
    table = make_routes(revision)
    routes = [one for one in table.list_routes() if one.name != name]
    node.routes.offer(
        RouteTable(revision, routes, table.services.values(), table.limits)
    )


async def read_states(deployment):
    return [one.state for one in await deployment.read('b')]


async def test_texts_are_scored_once_the_route_of_their_scorer_is_back(
    deployment,
):
    """Guards against items given up while a scorer's route is left out."""
    node = deployment.nodes['a']
    await deployment.submit(make_batch())
    offer_without(node, 2, 'score')
    await deployment.advance(3)
    assert not await read_states(deployment)
    assert node.list_events('scoring-waits-for-route')
    node.routes.offer(make_routes(3))
    await deployment.advance(1)
    assert await read_states(deployment) == COMPLETED


async def test_texts_go_on_once_the_route_of_their_batch_is_back(deployment):
    """Guards against items given up while their own route is left out."""
    node = deployment.nodes['a']
    node.engines.faults['b-g0-0'] = [3]
    node.engines.lengths['b-g0-0'] = 10
    await deployment.submit(make_batch())
    await deployment.advance(0.1)
    offer_without(node, 2, 'notes')
    await deployment.advance(3)
    runs = len(node.engines.runs)
    await deployment.advance(1)
    assert len(node.engines.runs) == runs
    node.routes.offer(make_routes(3))
    await deployment.advance(2)
    assert await read_states(deployment) == COMPLETED


async def test_items_without_a_route_are_given_up_at_the_end_of_their_time(
    deployment,
):
    """Guards against items without a route that stay open for good."""
    node = deployment.nodes['a']
    await deployment.submit(make_batch())
    offer_without(node, 2, 'score')
    await deployment.advance(39)
    assert not await read_states(deployment)
    await deployment.advance(2)
    assert await read_states(deployment) == [
        TaskState.given_up for _ in COMPLETED
    ]


@pytest.mark.parametrize('name', ['notes', 'score'])
async def test_holder_that_has_not_read_the_routes_of_a_batch_waits(name):
    """Guards against a holder that knows less than the accepting node."""
    deployment = FakeDeployment(nodes=('a', 'b'))
    for node in deployment.nodes.values():
        offer_without(node, 2, name)
    await deployment.start()
    holder, other = sorted(
        deployment.nodes.values(),
        key=lambda node: node.owner._lease is None,
    )
    other.routes.offer(make_routes(3))
    await deployment.submit(make_batch(), node=other.name)
    await deployment.advance(2)
    assert not await read_states(deployment)
    holder.routes.offer(make_routes(3))
    await deployment.advance(1)
    states = await read_states(deployment)
    await deployment.close()
    assert states == COMPLETED


@pytest.mark.parametrize('is_store_silent', [False, True])
async def test_newer_configuration_decides_on_the_attempts_of_runs(
    deployment, is_store_silent
):
    """Guards against items given up by a limit that is no longer in force."""
    node = deployment.nodes['a']
    source = deployment.route_source
    source.table = make_routes(2, max_attempts=5)
    if is_store_silent:
        source.error = StoreUnavailableError('silent', remedy='wait')
    node.engines.faults['b-g0-0'] = [fail_run() for _ in range(4)]
    await deployment.submit(make_batch())
    await deployment.advance(3)
    source.error = None
    await deployment.advance(2)
    assert await read_states(deployment) == COMPLETED


async def test_newer_configuration_decides_on_the_attempts_of_scorings(
    deployment,
):
    """Guards against texts given up by a limit that is no longer in force."""
    node = deployment.nodes['a']
    table = make_routes(2)
    deployment.route_source.table = RouteTable(
        2,
        [
            *(one for one in table.list_routes() if one.name == 'notes'),
            *(
                type(one)(
                    one.name,
                    one.host,
                    one.prefix,
                    one.kind,
                    one.shares,
                    max_attempts=8,
                )
                for one in table.list_routes()
                if one.name == 'score'
            ),
        ],
        table.services.values(),
        table.limits,
    )
    node.engines.scores['score-b-g0-0'] = [500 for _ in range(5)]
    await deployment.submit(make_batch())
    await deployment.advance(4)
    assert await read_states(deployment) == COMPLETED
