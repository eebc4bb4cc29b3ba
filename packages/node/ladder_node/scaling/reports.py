"""Log lines and metrics of decisions on replicas."""

from collections.abc import Iterable

from prometheus_client import Counter, Gauge

from ladder_clients.cloud import CallOutcome, ReplicaOrder
from ladder_core.timeline import Timeline
from ladder_policy.scaling import (
    DataCentreState,
    PoolState,
    ReplicaTarget,
    ScalingDecision,
    ServiceState,
)

_REGULAR = 'regular'
_SPOT = 'spot'

_orders_counter = Counter(
    'ladder_scaling_orders_total',
    'Orders of replicas, by kind and outcome',
    ('kind', 'outcome'),
)
_decisions_counter = Counter(
    'ladder_scaling_decisions_total',
    'Decisions that changed a number of replicas, by reason',
    ('reason',),
)
_needed_gauge = Gauge(
    'ladder_scaling_needed_engines',
    'Engines that the largest recent demand of a service needed',
    ('service',),
)
_replicas_gauge = Gauge(
    'ladder_scaling_replicas',
    'Replicas of a service that serve or were ordered, by kind',
    ('service', 'kind'),
)


def report_state(
    service: str, state: ServiceState, decision: ScalingDecision
) -> None:
    """Update the metrics of a service."""
    _needed_gauge.labels(service).set(decision.peak)
    regular = sum(one.regular.count for one in state.data_centres)
    spot = sum(one.spot.count for one in state.data_centres)
    _replicas_gauge.labels(service, _REGULAR).set(regular)
    _replicas_gauge.labels(service, _SPOT).set(spot)


def record_decision(
    timeline: Timeline,
    service: str,
    state: ServiceState,
    decision: ScalingDecision,
    targets: Iterable[ReplicaTarget],
) -> None:
    """Record a decision that changes a number, with all of its inputs."""
    _decisions_counter.labels(decision.reason).inc()
    demand = state.demand
    tasks = demand.tasks if demand else ()
    timeline.record(
        'replicas-decided',
        service,
        reason=decision.reason,
        needed=decision.needed,
        peak=decision.peak,
        tasks=len(tasks),
        tokens=round(sum(task.tokens_left for task in tasks)),
        token_ms=round(1000 * demand.token_seconds, 3) if demand else '',
        slots=demand.slots if demand else '',
        limits=f'{state.limits.min_replicas}-{state.limits.max_replicas}',
        replicas=' '.join(_describe(one) for one in state.data_centres),
        orders=' '.join(_describe_target(target) for target in targets),
    )


def record_outcome(
    timeline: Timeline, order: ReplicaOrder, outcome: CallOutcome, epoch: int
) -> None:
    """Record what became of an order."""
    kind = _name_kind(is_spot=order.is_spot)
    _orders_counter.labels(kind, outcome.value).inc()
    timeline.record(
        'replicas-ordered',
        order.service,
        data_centre=order.data_centre,
        spot=order.is_spot,
        count=order.count,
        outcome=outcome.value,
        epoch=epoch,
    )


def _describe(state: DataCentreState) -> str:
    """Return serving+booting-leaving of both kinds; blocked ones with `!`."""
    regular, spot = _describe_pool(state.regular), _describe_pool(state.spot)
    return f'{state.name}:{regular},{spot}'


def _describe_pool(pool: PoolState) -> str:
    mark = '!' if pool.is_blocked else ''
    return f'{pool.serving}+{pool.booting}-{pool.leaving}{mark}'


def _describe_target(target: ReplicaTarget) -> str:
    kind = _name_kind(is_spot=target.is_spot)
    return f'{target.data_centre}:{kind}={target.count}'


def _name_kind(*, is_spot: bool) -> str:
    return _SPOT if is_spot else _REGULAR
