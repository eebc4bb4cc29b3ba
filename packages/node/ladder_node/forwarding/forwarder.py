"""
Pass a request on, and try again elsewhere where that is allowed.

Explanation
-----------
A request that did not run may go to another replica whatever its kind. One
that may have run goes on only if its route is idempotent. The number of
replicas, the caller's time and the route's timeout bound all tries.

"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from prometheus_client import Histogram

from ladder_clients.exchanges import OpenAnswer
from ladder_clients.replicas import CallerRequest, ReplicaClient
from ladder_core.errors import (
    LadderError,
    TargetTimeoutError,
    TargetUnavailableError,
)
from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService
from ladder_core.values import Route, RouteKind
from ladder_node.forwarding.notes import (
    SERVER_ERROR,
    note_answer,
    note_failure,
    note_refusal,
)
from ladder_node.forwarding.selection import ReplicaSelection
from ladder_node.forwarding.tries import (
    RETRY_AFTER_SECONDS,
    Tries,
    WholeAnswer,
    count_request,
    make_deadline_error,
)
from ladder_node.replicas import ReplicaRecord

# A first try that takes this many times the objective is given up while
# there is another replica to try.
_TRY_OBJECTIVES = 2
_MIN_TRY_SECONDS = 0.4
_PAUSE_SECONDS = 0.05
# Refusals do not count as tries, so they are bounded by themselves.
_MAX_REFUSALS = 8

_forwarded_histogram = Histogram(
    'ladder_forward_seconds',
    'Time from a request to the end of its answer, by service and outcome',
    ('service', 'outcome'),
    buckets=(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)


class Forwarder:
    """
    Pass requests on to replicas.

    Parameters
    ----------
    selection : ReplicaSelection
        Selects replicas.
    client : ReplicaClient
        Sends requests.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes one event for each request.

    """

    def __init__(
        self,
        selection: ReplicaSelection,
        client: ReplicaClient,
        timers: TimerService,
        timeline: TimeLine,
    ) -> None:
        self._selection = selection
        self._client = client
        self._timers = timers
        self._timeline = timeline

    async def forward(
        self,
        route: Route,
        request: CallerRequest,
        seconds: float,
        on_failure: Callable[[], None] | None = None,
    ) -> WholeAnswer:
        """
        Pass a request on and return the whole answer.

        Parameters
        ----------
        route : Route
            Its route.
        request : CallerRequest
            The request.
        seconds : float
            Time that the caller waits; the route's timeout is kept too.
        on_failure : callable, optional
            Called for each answer that says that a run failed.

        Raises
        ------
        TargetUnavailableError
            The request has not run and will not.
        DeadlineError
            The time passed; the request may have run.
        TargetLostError, TargetTimeoutError, AnswerCorruptError
            The request may have run, and must not be sent again.

        """
        limit = min(seconds, route.timeout_seconds)
        service = self._selection.choose_service(route)
        tries = self._begin(route, service, limit)
        if on_failure is not None:
            tries.note_failure = on_failure
        outcome = 'cancelled'
        try:
            async with asyncio.timeout(limit):
                answer = await self._try_replicas(route, request, tries)
            outcome = str(answer.status)
        except TimeoutError as error:
            outcome = 'deadline'
            raise make_deadline_error(tries, limit) from error
        except LadderError as error:
            outcome = error.kind
            raise
        finally:
            self._note_end(route, request, tries, outcome)
        return answer

    @contextlib.asynccontextmanager
    async def stream(
        self,
        route: Route,
        request: CallerRequest,
        seconds: float,
    ) -> AsyncIterator[OpenAnswer]:
        """
        Pass a request on and hand out its answer while it arrives.

        Raises
        ------
        TargetUnavailableError
            The request has not run and will not.
        TargetLostError, TargetTimeoutError, AnswerCorruptError
            The request may have run.

        """
        service = self._selection.choose_service(route)
        tries = self._begin(route, service, seconds)
        while True:
            record = await self._select(tries)
            try:
                async with self._open(record, request, tries) as answer:
                    yield answer
                    return
            except TargetUnavailableError as error:
                note_refusal(record, tries, error, self._timers.now())

    def _begin(self, route: Route, service: str, seconds: float) -> Tries:
        may_repeat = route.kind is RouteKind.idempotent or route.is_resumable
        began = self._timers.now()
        return Tries(service, not may_repeat, began, began + seconds)

    def _note_end(
        self,
        route: Route,
        request: CallerRequest,
        tries: Tries,
        outcome: str,
    ) -> None:
        took = self._timers.now() - tries.began
        _forwarded_histogram.labels(tries.service, outcome).observe(took)
        self._timeline.record(
            'request-ended',
            request.request_id,
            route=route.name,
            service=tries.service,
            outcome=outcome,
            seconds=round(took, 4),
            limit=round(tries.deadline - tries.began, 3),
            sent_to=','.join(sorted(tries.sent_to)),
            refused_by=','.join(sorted(tries.refused_by)),
        )

    async def _try_replicas(
        self,
        route: Route,
        request: CallerRequest,
        tries: Tries,
    ) -> WholeAnswer:
        answer = None
        while answer is None:
            record = await self._select(tries)
            try:
                answer = await self._try_one(route, request, record, tries)
            except TargetUnavailableError as error:
                note_refusal(record, tries, error, self._timers.now())
            except LadderError as error:
                note_failure(record, tries, error, self._timers.now())
                if not self._may_repeat(route, tries):
                    raise
        return answer

    async def _select(self, tries: Tries) -> ReplicaRecord:
        record = self._selection.select(tries.service, tries.seen)
        if record is not None and tries.refusals < _MAX_REFUSALS:
            if record.name in tries.seen:
                await self._timers.sleep(_PAUSE_SECONDS)
            return record
        if tries.sent_to:
            raise TargetTimeoutError(
                f'no replica of {tries.service} is left to try',
                remedy='read back whether the request took effect',
            )
        raise TargetUnavailableError(
            f'no replica of {tries.service} takes requests now',
            remedy='send the request again later',
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def _try_one(
        self,
        route: Route,
        request: CallerRequest,
        record: ReplicaRecord,
        tries: Tries,
    ) -> WholeAnswer | None:
        """Return the answer, or None if another replica shall be tried."""
        began = self._timers.now()
        limit = self._limit_try(route, tries, record)
        try:
            async with asyncio.timeout(limit):
                async with self._open(record, request, tries) as answer:
                    body = await answer.read()
        except TimeoutError as error:
            raise TargetTimeoutError(
                f'{record.name} did not answer within {limit:.2f} s',
                remedy='send the request to another replica',
            ) from error
        note_answer(record, tries, answer.status, began, self._timers.now())
        is_failure = answer.status >= SERVER_ERROR
        if is_failure and self._may_repeat(route, tries):
            return None
        return WholeAnswer(
            answer.status,
            answer.headers,
            body,
            record.name,
            self._client.find_signature(answer),
        )

    @contextlib.asynccontextmanager
    async def _open(
        self,
        record: ReplicaRecord,
        request: CallerRequest,
        tries: Tries,
    ) -> AsyncIterator[OpenAnswer]:
        left = tries.deadline - self._timers.now()
        with count_request(record):
            tries.sent_to.add(record.name)
            try:
                async with self._client.open(
                    record.replica,
                    request,
                    max(left, 0),
                    is_fresh=tries.is_fresh,
                ) as answer:
                    yield answer
            except TargetUnavailableError:
                tries.sent_to.discard(record.name)
                raise

    def _limit_try(
        self,
        route: Route,
        tries: Tries,
        record: ReplicaRecord,
    ) -> float | None:
        """Return the seconds for one try; None for all that is left."""
        is_last = len(tries.sent_to) + 1 >= route.max_attempts
        if is_last or route.kind is not RouteKind.idempotent:
            return None
        others = {*tries.seen, record.name}
        if not self._selection.has_other(tries.service, others):
            return None
        usual = _TRY_OBJECTIVES * route.objective_seconds
        return max(usual, _MIN_TRY_SECONDS)

    def _may_repeat(self, route: Route, tries: Tries) -> bool:
        return (
            route.kind is RouteKind.idempotent
            and len(tries.sent_to) < route.max_attempts
            and self._selection.has_other(tries.service, tries.seen)
        )
