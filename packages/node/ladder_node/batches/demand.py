"""Demand of the services that run the tasks of open batches."""

from collections.abc import Sequence

from ladder_core.timers import TimerService
from ladder_node.batches.dispatcher import TaskDispatcher
from ladder_node.batches.engines import (
    EngineTracker,
    TrackedEngine,
    find_shortest_token_time,
)
from ladder_node.batches.open_batch import Stage
from ladder_node.batches.registry import BatchRegistry, estimate_tokens
from ladder_node.leases import Lease
from ladder_node.routes import RouteCache
from ladder_node.scaling import Autoscaler, DemandSource, ServiceLoad
from ladder_policy.scaling import Demand, TaskDemand

_WORKING_STAGES = frozenset((Stage.waiting, Stage.running))


class BatchDemand(DemandSource):
    """
    Measure the work of the open batches.

    Parameters
    ----------
    registry : BatchRegistry
        Holds the open batches.
    engines : EngineTracker
        Knows the token times and the running tasks of the engines.
    dispatcher : TaskDispatcher
        Knows the service that runs each batch.
    routes : RouteCache
        Configuration with the slots of engines, used if none is listed.
    timers : TimerService
        Clock of the due times.

    """

    def __init__(
        self,
        registry: BatchRegistry,
        engines: EngineTracker,
        dispatcher: TaskDispatcher,
        routes: RouteCache,
        timers: TimerService,
    ) -> None:
        self._registry = registry
        self._engines = engines
        self._dispatcher = dispatcher
        self._routes = routes
        self._timers = timers

    def measure(self, service: str) -> ServiceLoad:
        """Return the tasks of a service, and the speed of its engines."""
        now = self._timers.now()
        engines = self._engines.list_active(service, now)
        tasks = tuple(
            TaskDemand(estimate_tokens(task), batch.due - now)
            for batch in self._registry.batches
            if self._dispatcher.find_service(batch) == service
            for task in batch.tasks.values()
            if task.stage in _WORKING_STAGES and not task.draft.is_complete
        )
        demand = Demand(
            tasks,
            _find_mean_token_time(engines, now),
            self._find_slots(service, engines),
        )
        running = {
            engine.record.name: len(engine.running)
            for engine in self._engines.list_running()
        }
        return ServiceLoad(demand, running)

    def _find_slots(
        self, service: str, engines: Sequence[TrackedEngine]
    ) -> float:
        if engines:
            slots = sum(engine.replica.slots for engine in engines)
            return slots / len(engines)
        table = self._routes.current
        entry = table.services.get(service) if table else None
        return entry.slots if entry else 1


class BatchAutoscaler:
    """
    Order replicas by the demand of the open batches.

    Parameters
    ----------
    autoscaler : Autoscaler
        Orders replicas while a lease is held.
    routes : RouteCache
        Configuration with the slots of engines.
    timers : TimerService
        Clock of the due times.

    """

    def __init__(
        self, autoscaler: Autoscaler, routes: RouteCache, timers: TimerService
    ) -> None:
        self._autoscaler = autoscaler
        self._routes = routes
        self._timers = timers

    async def run(
        self,
        lease: Lease,
        registry: BatchRegistry,
        engines: EngineTracker,
        dispatcher: TaskDispatcher,
    ) -> None:
        """
        Order replicas until the lease is lost.

        Raises
        ------
        DutyLostError
            No more orders may be made under the lease.

        """
        demand = BatchDemand(
            registry, engines, dispatcher, self._routes, self._timers
        )
        await self._autoscaler.run(lease, demand)


def _find_mean_token_time(
    engines: Sequence[TrackedEngine], now: float
) -> float:
    if not engines:
        return find_shortest_token_time(engines, now)
    return sum(engine.estimate_token_time(now) for engine in engines) / len(
        engines
    )
