"""Rollout of the newest weights to the engines of a pool."""

import asyncio
from dataclasses import dataclass

from loguru import logger
from prometheus_client import Counter

from ladder_clients.engines import EngineClient, Order, OrderKind
from ladder_clients.platform import Weights, WeightStore
from ladder_clients.transport import TransportError
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import HostKind
from ladder_node.leases.lease import Lease
from ladder_node.targets import Target, TargetTable
from ladder_policy.versions import ReplicaVersion, RolloutPlanner, WeightSource

# Time in which an order arrives at an engine or fails. It is not below the time
# limit of an order in the engines' client.
ORDER_TIMEOUT_SECONDS = 2
# Time after which an order must show in the state of the engine. The state is
# read once a second, so a state read shortly after an order may be older.
_ORDER_EFFECT_SECONDS = 3

_ordered_counter = Counter(
    'ladder_weight_orders_total',
    'Orders to load a version, by their outcome',
    ('outcome',),
)
_failed_counter = Counter(
    'ladder_weight_swaps_failed_total',
    'Swaps that ended without the ordered version',
)
_link_counter = Counter(
    'ladder_weights_link_bytes_total',
    'Bytes of weights ordered over a link between regions',
    ('model', 'version'),
)


@dataclass(frozen=True, slots=True)
class _PendingOrder:
    version: int
    ordered_at: float


class WeightRollout:
    """
    Order engines of one pool to load the newest version of their model.

    Explanation
    -----------
    An order is declarative, since it names the version to load, and carries
    the lease's epoch as the fencing token. It is sent only if its time limit
    ends before the lease does. Before its first order to an engine that
    ignores fencing tokens, a new holder waits for that time limit. From then
    on it compares the version that the engine reports with the newest one, so
    that the effect of a late order of an earlier holder is corrected.

    Parameters
    ----------
    targets : TargetTable
        Provides the engines with the state that they report.
    engines : EngineClient
        Sends the orders.
    weights : WeightStore
        Provides the newest version of a model.
    planner : RolloutPlanner
        Chooses the engines that load a version next.
    timers : TimerService
        Clock for the time limits of orders.
    timeline : Timeline
        Records each order and each failed swap.
    weights_region : str, optional
        Region of the weight store, to count the bytes that are loaded from
        another region; empty if it is not known.

    """

    def __init__(
        self,
        targets: TargetTable,
        engines: EngineClient,
        weights: WeightStore,
        planner: RolloutPlanner,
        timers: TimerService,
        timeline: Timeline,
        weights_region: str = '',
    ) -> None:
        self._targets = targets
        self._engines = engines
        self._weights = weights
        self._planner = planner
        self._timers = timers
        self._timeline = timeline
        self._weights_region = weights_region
        self._pending: dict[str, _PendingOrder] = {}
        self._handled_doubts: dict[str, float] = {}

    async def reconcile(self, pool: str, lease: Lease) -> None:
        """
        Order engines to load the newest version if they lack it.

        Parameters
        ----------
        pool : str
            Name of the pool whose engines are compared.
        lease : Lease
            Lease of the pool, which limits the orders and fences them.

        """
        engines = self._targets.list_all(HostKind.engine, pool)
        for model in sorted({target.entry.model for target in engines}):
            try:
                newest = await self._weights.read_newest(model)
            except StoreUnavailableError as error:
                logger.warning('newest weights could not be read: {}', error)
                return
            of_model = [
                target for target in engines if target.entry.model == model
            ]
            await self._reconcile_model(of_model, newest, lease)

    async def _reconcile_model(
        self,
        engines: list[Target],
        newest: Weights,
        lease: Lease,
    ) -> None:
        known = {
            target.entry.name: target
            for target in engines
            if target.state is not None
        }
        self._check_orders(known)
        replicas = [self._make_replica(target) for target in known.values()]
        source = WeightSource(
            newest.version,
            newest.size_bytes,
            newest.bytes_per_second,
        )
        chosen = self._planner.choose(replicas, source)
        await asyncio.gather(
            *(
                self._order(known[replica.name], newest, lease)
                for replica in chosen
                if _is_safe_to_order(known[replica.name], lease)
            ),
        )

    def _check_orders(self, known: dict[str, Target]) -> None:
        """Drop pending orders that were carried out or whose swap failed."""
        for name, target in known.items():
            pending = self._pending.get(name)
            state = target.state
            if pending is None or state is None or state.swapping:
                continue
            if state.version >= pending.version:
                self._pending.pop(name)
            elif (
                self._timers.now() >= pending.ordered_at + _ORDER_EFFECT_SECONDS
            ):
                self._pending.pop(name)
                self._record_failure(name, pending.version, state.version)

    def _record_failure(
        self, name: str, version: int, reported_version: int
    ) -> None:
        _failed_counter.inc()
        self._timeline.record(
            'swap-failed',
            name,
            version=version,
            stated=reported_version,
        )

    def _make_replica(self, target: Target) -> ReplicaVersion:
        entry, state = target.entry, target.state
        version = 0 if state is None else state.version
        if self._is_doubted(target):
            # The reported version is doubted, so the engine loads it again.
            version = 0
        pending = self._pending.get(entry.name)
        is_swapping = state is not None and state.swapping
        return ReplicaVersion(
            entry.name,
            version,
            is_swapping or pending is not None,
            self._is_remote(target),
        )

    def _is_doubted(self, target: Target) -> bool:
        handled = self._handled_doubts.get(target.entry.name)
        is_new = handled != target.excluded_until
        return is_new and target.excluded_until > self._timers.now()

    def _is_remote(self, target: Target) -> bool:
        return self._weights_region not in {'', target.entry.region}

    async def _order(
        self,
        target: Target,
        newest: Weights,
        lease: Lease,
    ) -> None:
        name = target.entry.name
        order = Order(
            OrderKind.load_version,
            fencing_token=lease.epoch,
            model=newest.model,
            version=newest.version,
        )
        if lease.remaining() < ORDER_TIMEOUT_SECONDS:
            return
        self._handled_doubts[name] = target.excluded_until
        self._pending[name] = _PendingOrder(
            newest.version,
            self._timers.now(),
        )
        try:
            outcome = await self._engines.order(target.entry.address, order)
        except TransportError as error:
            _ordered_counter.labels('unknown').inc()
            logger.warning('order to engine {} failed: {}', name, error)
            return
        self._record_order(target, newest, lease, outcome.accepted)

    def _record_order(
        self,
        target: Target,
        newest: Weights,
        lease: Lease,
        is_accepted: bool,
    ) -> None:
        _ordered_counter.labels('accepted' if is_accepted else 'refused').inc()
        if is_accepted and self._is_remote(target):
            _link_counter.labels(newest.model, newest.version).inc(
                newest.size_bytes,
            )
        self._timeline.record(
            'version-ordered',
            target.entry.name,
            version=newest.version,
            epoch=lease.epoch,
            accepted=is_accepted,
        )


def _is_safe_to_order(target: Target, lease: Lease) -> bool:
    """Return whether no order of an earlier holder can take effect later."""
    return target.entry.checks_fencing or lease.age() >= ORDER_TIMEOUT_SECONDS
