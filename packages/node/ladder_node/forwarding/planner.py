"""Decisions on the runs of a request: which replica, how long, and again."""

from ladder_core.errors import (
    LadderError,
    QuarantinedRequestError,
    TargetLimitedError,
    TargetLostError,
    TargetTimeoutError,
    TargetUnavailableError,
)
from ladder_core.timers import TimerService
from ladder_core.values import Route, RouteKind
from ladder_node.forwarding.attempts import (
    RETRY_AFTER_SECONDS,
    RequestAttempts,
)
from ladder_node.forwarding.selector import ReplicaSelector
from ladder_node.quarantine import RunGuard
from ladder_node.replicas import ReplicaRecord
from ladder_policy.quarantine import RequestState

# An attempt that takes longer than this many times the latency objective of the
# route is abandoned if another replica is left to try. It is abandoned sooner
# if that replica is known to respond in less time.
_ATTEMPT_OBJECTIVE_MULTIPLE = 2
_MIN_ATTEMPT_SECONDS = 0.4
_RETRY_DELAY_SECONDS = 0.05
# Refusals do not count as attempts, so they have a limit of their own.
_MAX_REFUSALS = 8


class RunPlanner:
    """
    Decide on the runs of a request.

    Parameters
    ----------
    selector : ReplicaSelector
        Selects among the replicas of a service.
    guard : RunGuard
        Admits each run.
    timers : TimerService
        Sleep before a replica is tried again.

    """

    def __init__(
        self,
        selector: ReplicaSelector,
        guard: RunGuard,
        timers: TimerService,
    ) -> None:
        self._selector = selector
        self._guard = guard
        self._timers = timers

    async def plan(self, attempts: RequestAttempts) -> ReplicaRecord:
        """
        Return the replica to send the request to next.

        Raises
        ------
        TargetUnavailableError, QuarantinedRequestError
            The request has not run and will not run.
        TargetTimeoutError, TargetLostError
            The request may have run, and is not sent again.

        """
        # No trial is claimed while no replica could run the request.
        record = self._require_replica(attempts)
        if record.name in attempts.tried:
            await self._timers.sleep(_RETRY_DELAY_SECONDS)
        await self._admit(attempts)
        return self._require_replica(attempts)

    def find_limit(
        self,
        route: Route,
        attempts: RequestAttempts,
        record: ReplicaRecord,
    ) -> float | None:
        """Return the seconds for one attempt; None for all the time left."""
        is_last = len(attempts.sent_to) + 1 >= route.max_attempts
        if is_last or route.kind is not RouteKind.idempotent:
            return None
        others = {*attempts.tried, record.name}
        if not self._selector.has_other(
            attempts.service, others, attempts.priority
        ):
            return None
        limit_seconds = (
            _ATTEMPT_OBJECTIVE_MULTIPLE * route.latency_objective_seconds
        )
        learned_seconds = self._selector.find_response_limit(
            attempts.service, others, attempts.kind
        )
        if learned_seconds is not None:
            limit_seconds = min(limit_seconds, learned_seconds)
        return max(limit_seconds, _MIN_ATTEMPT_SECONDS)

    def may_repeat(self, route: Route, attempts: RequestAttempts) -> bool:
        """Return whether a request that may have run may be sent again."""
        return (
            route.kind is RouteKind.idempotent
            and len(attempts.sent_to) < route.max_attempts
            and self._selector.has_other(
                attempts.service, attempts.tried, attempts.priority
            )
        )

    async def _admit(self, attempts: RequestAttempts) -> None:
        try:
            await self._guard.admit(attempts.guarded)
        except QuarantinedRequestError as error:
            if not attempts.sent_to:
                raise
            raise TargetLostError(error.message, remedy=error.remedy) from error

    def _require_replica(self, attempts: RequestAttempts) -> ReplicaRecord:
        record = self._find_replica(attempts)
        if record is None:
            raise self._make_exhausted_error(attempts)
        return record

    def _find_replica(self, attempts: RequestAttempts) -> ReplicaRecord | None:
        """Return the replica to try next, or None if none is left."""
        if attempts.refusals >= _MAX_REFUSALS:
            return None
        state = self._guard.find_state(attempts.guarded.digest)
        occupied: set[str] = set()
        if state is not RequestState.clear:
            occupied.update(self._guard.list_occupied())
        record = self._selector.select(
            attempts.service,
            attempts.tried | occupied,
            attempts.priority,
            attempts.software_id,
            attempts.kind,
        )
        is_apart = record is None or record.name not in occupied
        if state is RequestState.quarantined and not is_apart:
            return None
        return record

    def _make_exhausted_error(self, attempts: RequestAttempts) -> LadderError:
        """Return the error of a request that no replica is left to try for."""
        if attempts.sent_to:
            return TargetTimeoutError(
                f'no replica of {attempts.service} is left to try',
                remedy='read back whether the request took effect',
            )
        denial = self._selector.find_denial(attempts.service, attempts.priority)
        if denial is not None:
            return TargetLimitedError(
                f'all replicas of {attempts.service} limit their requests',
                remedy='send the request again later',
                retry_after=round(denial.retry_seconds, 3),
            )
        return _make_unavailable_error(attempts)


def _make_unavailable_error(attempts: RequestAttempts) -> LadderError:
    return TargetUnavailableError(
        f'no replica of {attempts.service} takes requests now',
        remedy='send the request again later',
        retry_after=RETRY_AFTER_SECONDS,
    )
