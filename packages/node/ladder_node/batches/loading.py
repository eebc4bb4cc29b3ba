"""Orders to engines to load a weight version, and checks of their outcome."""

from collections.abc import Callable

from prometheus_client import Counter

from ladder_clients.replicas import OrderOutcome, ReplicaClient, VersionOrder
from ladder_core.errors import LadderError, TargetLimitedError
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Replica
from ladder_node.batches.engines import TrackedEngine
from ladder_node.batches.fence import OwnershipLostError
from ladder_policy.scheduling import LoadDecision

# A load takes about 1 s, so an earlier probe would find it still in progress.
_FIRST_PROBE_SECONDS = 0.85
_PROBE_INTERVAL_SECONDS = 0.2
_LOAD_TIMEOUT_SECONDS = 6
_RETRY_INTERVAL_SECONDS = 0.5

# After these nothing is loaded, and no state of the engine is unknown.
_FINAL_OUTCOMES = frozenset((OrderOutcome.invalid, TargetLimitedError.kind))

_orders_counter = Counter(
    'ladder_version_orders_total',
    'Orders to load a version, by the answer',
    ('outcome',),
)


class VersionLoader:
    """
    Send orders to load versions, and follow the loads until they end.

    Parameters
    ----------
    client : ReplicaClient
        Sends the orders and reads the state of replicas.
    timers : TimerService
        Clock for probes and time limits.
    timeline : Timeline
        Records the outcome of each order, and failed probes.
    holder : str
        Name of this node, sent with each order as the lease holder.
    epoch : int
        Fencing token of the lease, sent with each order.
    on_state : callable
        Called with each state that is read from a replica.

    """

    def __init__(
        self,
        client: ReplicaClient,
        timers: TimerService,
        timeline: Timeline,
        holder: str,
        epoch: int,
        on_state: Callable[[Replica], None],
    ) -> None:
        self._client = client
        self._timers = timers
        self._timeline = timeline
        self._holder = holder
        self._epoch = epoch
        self._on_state = on_state

    async def load(
        self,
        engine: TrackedEngine,
        decision: LoadDecision,
        ends_runs: bool,
    ) -> None:
        """
        Send an order, and wait until the engine has loaded the version.

        Explanation
        -----------
        After a lost response the state of the engine is read before another
        order is sent to it. If the engine does not load the version in time,
        nothing is undone; the next planning round decides again.

        Raises
        ------
        OwnershipLostError
            The engine has accepted an order of a later lease holder.

        """
        engine.loading = decision.model
        started_at = self._timers.now()
        outcome = 'lost'
        try:
            outcome = await self._order(engine, decision, ends_runs)
            if outcome not in _FINAL_OUTCOMES:
                outcome = await self._await_load(engine, decision, outcome)
        finally:
            engine.loading = ''
            self._record_end(decision, outcome, self._timers.now() - started_at)

    def _record_end(
        self,
        decision: LoadDecision,
        outcome: str,
        seconds: float,
    ) -> None:
        _orders_counter.labels(outcome).inc()
        self._timeline.record(
            'version-order-ended',
            decision.engine,
            model=decision.model,
            version=decision.version,
            reason=decision.reason,
            epoch=self._epoch,
            outcome=outcome,
            seconds=round(seconds, 3),
        )

    async def _order(
        self,
        engine: TrackedEngine,
        decision: LoadDecision,
        ends_runs: bool,
    ) -> str:
        if engine.orders is None:
            state = await self._read(engine)
            if state is None:
                return 'unreachable'
            if state.is_busy or _holds(state, decision):
                return OrderOutcome.busy
        order = VersionOrder(
            decision.model,
            decision.version,
            self._holder,
            self._epoch,
            engine.orders or 0,
            ends_runs,
        )
        before = engine.orders or 0
        engine.orders = None
        try:
            outcome = await self._client.order_version(engine.replica, order)
        except TargetLimitedError as error:
            engine.orders = before
            return error.kind
        except LadderError as error:
            engine.record.record_failure(self._timers.now())
            return error.kind
        if outcome is OrderOutcome.accepted:
            engine.orders = before + 1
        if outcome is OrderOutcome.fenced_off:
            raise OwnershipLostError(
                f'engine {decision.engine} refused an order of epoch'
                f' {self._epoch}, because it knows a later one',
                remedy='stop sending orders; the later lease holder sends them',
            )
        return outcome

    async def _await_load(
        self,
        engine: TrackedEngine,
        decision: LoadDecision,
        outcome: str,
    ) -> str:
        """
        Poll the engine until it has the version or the time limit is over.

        If the order was not accepted, the polling ends as soon as the engine
        is not busy, since no load is in progress then.
        """
        deadline = self._timers.now() + _LOAD_TIMEOUT_SECONDS
        is_accepted = outcome == OrderOutcome.accepted
        delay = _FIRST_PROBE_SECONDS if is_accepted else _PROBE_INTERVAL_SECONDS
        while self._timers.now() < deadline:
            await self._timers.sleep(delay)
            delay = _PROBE_INTERVAL_SECONDS
            # The feed of replicas may have reported the version meanwhile.
            if _holds(engine.replica, decision):
                return 'loaded'
            state = await self._read(engine)
            if state is not None and _holds(state, decision):
                return 'loaded'
            if state is not None and not state.is_busy and not is_accepted:
                return outcome
        return f'{outcome}-given-up'

    async def _read(self, engine: TrackedEngine) -> Replica | None:
        try:
            state = await self._client.read_state(engine.replica)
        except LadderError as error:
            self._timeline.record(
                'replica-state-unknown',
                engine.record.name,
                error=error.message,
            )
            await self._timers.sleep(_RETRY_INTERVAL_SECONDS)
            return None
        engine.orders = state.accepted_orders
        self._on_state(state)
        return state


def _holds(replica: Replica, decision: LoadDecision) -> bool:
    return replica.versions.get(decision.model, 0) >= decision.version
