"""Decisions and orders under one acquisition of the lease."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from ladder_clients.cloud import (
    CallOutcome,
    CloudClient,
    ReplicaOrder,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.leases import LeaseHolder
from ladder_node.replicas import ReplicaRegistry
from ladder_node.routes import RouteCache
from ladder_node.scaling.demand import DemandSource
from ladder_node.scaling.reports import (
    record_decision,
    record_outcome,
    report_state,
)
from ladder_node.scaling.services import (
    ScaledService,
    ServicePools,
    list_scaled_services,
)
from ladder_node.singleton_duties import (
    DutyCalls,
    DutyLostError,
    DutyRefusedError,
)
from ladder_policy.scaling import ReplicaTarget, ScalingPolicy

# Shorter than the time between bursts, so that each is seen almost whole.
_DECISION_INTERVAL_SECONDS = 0.5
_HOLDER_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ScalingDependencies:
    """
    Components of a node that ordering replicas requires.

    Attributes
    ----------
    node : str
        Name of this node.
    client : CloudClient
        Sends the orders from this host.
    registry : ReplicaRegistry
        Lists the replicas.
    routes : RouteCache
        Configuration with the limits of the services.
    find_holder : callable
        Reads the holder of a lease from the store.
    handover_seconds : float
        Time for which a call without a response may still take effect.
    make_policy : callable
        Makes the policy of a service.
    timers : TimerService
        Clock of the decisions.
    timeline : Timeline
        Records each decision and the outcome of each order.

    """

    node: str
    client: CloudClient
    registry: ReplicaRegistry
    routes: RouteCache
    find_holder: Callable[[str], Awaitable[LeaseHolder | None]]
    handover_seconds: float
    make_policy: Callable[[], ScalingPolicy]
    timers: TimerService
    timeline: Timeline


class ScalingTenure:
    """
    Decide on the replicas of all services while one lease is held.

    Explanation
    -----------
    What the policies remember begins anew with each tenure. They see the
    demand also while no order may be sent, so that the first order fits it.

    Parameters
    ----------
    dependencies : ScalingDependencies
        Components of the node.
    calls : DutyCalls
        Makes the calls under the lease.
    source : DemandSource
        Knows the demand of the services.

    """

    def __init__(
        self,
        dependencies: ScalingDependencies,
        calls: DutyCalls,
        source: DemandSource,
    ) -> None:
        self._dependencies = dependencies
        self._calls = calls
        self._source = source
        self._policies: dict[str, ScalingPolicy] = {}
        self._pools: dict[str, ServicePools] = {}
        # Refusals of which it is not known yet whether a later holder is the
        # reason; no order is sent meanwhile.
        self._open_refusals = 0

    async def run(self) -> None:
        """
        Decide and order until the lease is lost.

        Raises
        ------
        ExceptionGroup
            Contains a DutyLostError: no more calls may be made under the lease.

        """
        timers = self._dependencies.timers
        async with asyncio.TaskGroup() as group:
            while not self._calls.lease.is_ended:
                for service in list_scaled_services(
                    self._dependencies.routes.current
                ):
                    self._plan_logged(service, group)
                await timers.sleep(_DECISION_INTERVAL_SECONDS)
            raise DutyLostError(
                f'the lease of {self._calls.lease.name} has ended',
                remedy='wait until this node acquires it again',
            )

    def _plan_logged(
        self, service: ScaledService, group: asyncio.TaskGroup
    ) -> None:
        try:
            self._plan(service, group)
        except Exception:
            logger.exception('no decision on replicas of {}', service.name)

    def _plan(self, service: ScaledService, group: asyncio.TaskGroup) -> None:
        """Decide on one service, and send the orders that may be sent now."""
        dependencies = self._dependencies
        if not dependencies.registry.has_read:
            return
        now = dependencies.timers.now()
        pools = self._find_pools(service.name)
        load = self._source.measure(service.name)
        state = pools.observe(service, load, now)
        decision = self._find_policy(service.name).decide(state)
        report_state(service.name, state, decision)
        targets = [
            target
            for target in decision.targets
            if self._may_call()
            and pools.find(
                target.data_centre, is_spot=target.is_spot
            ).may_order(now)
        ]
        if targets:
            record_decision(
                dependencies.timeline, service.name, state, decision, targets
            )
        self._begin_orders(service, targets, group)

    def _may_call(self) -> bool:
        return (
            self._calls.first_call_wait() <= 0
            and self._calls.lease.is_valid()
            and not self._open_refusals
        )

    def _begin_orders(
        self,
        service: ScaledService,
        targets: Sequence[ReplicaTarget],
        group: asyncio.TaskGroup,
    ) -> None:
        for target in targets:
            order = ReplicaOrder(
                service.name, target.data_centre, target.count, target.is_spot
            )
            pool = self._find_pools(service.name).find(
                target.data_centre, is_spot=target.is_spot
            )
            pool.begin_order(target.count)
            group.create_task(self._order(order, service.limits.boot_seconds))

    async def _order(self, order: ReplicaOrder, boot_seconds: float) -> None:
        """Send an order, and note what became of it."""
        dependencies = self._dependencies
        outcome = await self._call(order)
        epoch = self._calls.lease.epoch
        record_outcome(dependencies.timeline, order, outcome, epoch)
        if outcome is CallOutcome.refused:
            await self._check_holder()
        pool = self._find_pools(order.service).find(
            order.data_centre, is_spot=order.is_spot
        )
        pool.end_order(outcome, dependencies.timers.now(), boot_seconds)

    async def _call(self, order: ReplicaOrder) -> CallOutcome:
        client = self._dependencies.client
        try:
            return await self._calls.make(
                lambda holder: client.order_replicas(holder, order)
            )
        except DutyLostError:
            raise
        except Exception:
            logger.exception('order of replicas of {} failed', order.service)
            return CallOutcome.unknown

    async def _check_holder(self) -> None:
        """
        Return if this node still holds the lease by what the store says.

        Then an order was refused since there are no replicas to be had.

        Raises
        ------
        DutyRefusedError
            A later holder was the reason.

        """
        self._open_refusals += 1
        lease = self._calls.lease
        holder = await self._read_holder()
        is_own = (
            holder is not None
            and holder.name == self._dependencies.node
            and holder.epoch == lease.epoch
        )
        if lease.is_ended or not is_own:
            await lease.release()
            raise DutyRefusedError(
                f'the lease of {lease.name} has a later holder',
                remedy='make no more calls under its token',
            )
        self._open_refusals -= 1

    async def _read_holder(self) -> LeaseHolder | None:
        dependencies = self._dependencies
        while True:
            try:
                return await dependencies.find_holder(self._calls.lease.name)
            except StoreUnavailableError as error:
                logger.info('holder not read: {}', error.message)
            await dependencies.timers.sleep(_HOLDER_RETRY_SECONDS)

    def _find_policy(self, service: str) -> ScalingPolicy:
        if service not in self._policies:
            self._policies[service] = self._dependencies.make_policy()
        return self._policies[service]

    def _find_pools(self, service: str) -> ServicePools:
        if service not in self._pools:
            self._pools[service] = ServicePools(
                service, self._dependencies.registry
            )
        return self._pools[service]
