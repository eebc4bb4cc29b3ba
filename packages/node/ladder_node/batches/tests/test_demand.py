"""Orders of replicas by the node that runs the batches."""

from dataclasses import replace
from typing import cast

import pytest

from ladder_clients.cloud import CallOutcome, CloudClient
from ladder_core.values import (
    CallerLimits,
    RouteTable,
    ScalingLimits,
    ServiceEntry,
)
from ladder_node.batches import BatchAutoscaler
from ladder_node.batches.demand import BatchDemand
from ladder_node.batches.dispatcher import TaskDispatcher
from ladder_node.batches.engines import EngineTracker
from ladder_node.batches.registry import BatchRegistry
from ladder_node.batches.result_writer import ResultWriter
from ladder_node.batches.tests.fakes import (
    FakeDeployment,
    make_batch,
    make_routes,
    make_task,
)
from ladder_node.scaling import Autoscaler, ScalingDependencies
from ladder_policy.scaling import BurstScaling


class RecordingCloud(CloudClient):
    def __init__(self, timers):
        self.timers = timers
        self.calls = []
        self.error = None

    async def report_usage(self, holder, window, counts):
        raise AssertionError('the autoscaler reports no usage')

    async def order_replicas(self, holder, order):
        self.calls.append((holder, order))
        if self.error is not None:
            raise self.error
        return CallOutcome.done


class ScaledDeployment(FakeDeployment):
    """Nodes that order replicas while they run the batches."""

    def __init__(self, **settings):
        super().__init__(**settings)
        self.clouds = {}
        for name, node in self.nodes.items():
            node.routes.offer(make_scaled_routes())
            self.clouds[name] = RecordingCloud(self.timers)
            autoscaler = Autoscaler(
                ScalingDependencies(
                    name,
                    self.clouds[name],
                    node.replica_registry,
                    node.routes,
                    node.leases.find_holder,
                    3,
                    BurstScaling,
                    node.timers,
                    node.timeline,
                )
            )
            node.owner._dependencies = replace(
                node.owner._dependencies,
                autoscaler=BatchAutoscaler(
                    autoscaler, node.routes, node.timers
                ),
            )


def make_scaled_routes():
    table = make_routes()
    limits = ScalingLimits(1, 12, 4, 0.22, {'leith': 1, 'portree': 1})
    services = [
        ServiceEntry('brewmind', slots=8, scaling=limits),
        ServiceEntry('taproom'),
    ]
    return RouteTable(2, table.list_routes(), services, CallerLimits())


def make_long_batch(tasks=160, batch_id='b'):
    names = [f'{batch_id}-{number}' for number in range(tasks)]
    return make_batch(
        batch_id,
        tasks=tuple(make_task(name, name, 2500) for name in names),
    )


@pytest.fixture
async def deployment():
    made = ScaledDeployment(nodes=('a', 'b'), engines=1)
    await made.start()
    yield made
    await made.close()


def find_holder(deployment):
    return next(
        name
        for name, node in deployment.nodes.items()
        if node.leases.find_own('batches')
    )


async def test_burst_is_answered_by_the_node_that_runs_it(deployment):
    """Guards against a demand that never reaches the orders."""
    await deployment.advance(3)
    await deployment.submit(make_long_batch())
    await deployment.advance(1)
    holder = find_holder(deployment)
    lease = deployment.nodes[holder].leases.find_own('batches')
    calls = deployment.clouds.pop(holder).calls
    assert {(one.name, one.token) for one, _ in calls} == {
        (holder, lease.epoch)
    }
    assert sum(order.count for _, order in calls) >= 3
    assert not any(cloud.calls for cloud in deployment.clouds.values())


async def test_batches_run_on_when_orders_fail_unexpectedly(deployment):
    """Guards against a fault of the autoscaler that stops all tasks."""
    for cloud in deployment.clouds.values():
        cloud.error = ValueError('unexpected')
    await deployment.advance(3)
    await deployment.submit(make_long_batch())
    await deployment.submit(make_batch('c'))
    await deployment.advance(8)
    node = deployment.nodes[find_holder(deployment)]
    assert not node.list_events('duty-ended')
    assert len(await deployment.read('c')) == 4
    cloud = deployment.clouds[node.name]
    calls = len(cloud.calls)
    assert calls
    cloud.error = None
    await deployment.advance(8)
    assert len(cloud.calls) > calls


async def test_next_holder_waits_before_its_first_order(deployment):
    """Guards against orders that overtake those of the holder before."""
    await deployment.advance(3)
    holder = find_holder(deployment)
    await deployment.submit(make_long_batch(), node=holder)
    await deployment.advance(1)
    assert deployment.clouds[holder].calls
    await deployment.nodes[holder].owner.close()
    other = next(name for name in deployment.nodes if name != holder)
    await deployment.advance(2.5)
    assert find_holder(deployment) == other
    assert not deployment.clouds[other].calls
    await deployment.advance(2)
    assert deployment.clouds[other].calls


async def test_demand_holds_tasks_that_wait_or_run():
    """Guards against a need that grows with tasks that are done."""
    deployment = FakeDeployment(engines=1, slots=8)
    node = deployment.nodes['a']
    registry = BatchRegistry(deployment.timers)
    engines = EngineTracker(node.replica_registry, node.engines)
    dispatcher = TaskDispatcher(
        registry, engines, node.routes, deployment.timers
    )
    source = BatchDemand(
        registry, engines, dispatcher, node.routes, deployment.timers
    )
    spec = make_long_batch(tasks=4)
    await deployment.submit(spec)
    head = await node.store.find_head('b')
    assert head is not None
    registry.add(spec, head, cast(ResultWriter, None), 1, ['b-0'])
    demand = source.measure('brewmind').demand
    assert demand is not None
    assert [task.tokens_left for task in demand.tasks] == [2500, 2500, 2500]
    assert demand.tasks[0].seconds_left == pytest.approx(6.5)
    assert demand.slots == 8
    other = source.measure('taproom').demand
    assert other is not None
    assert not other.tasks
