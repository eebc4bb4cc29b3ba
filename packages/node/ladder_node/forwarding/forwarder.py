"""
Forward a request, and retry it at another replica where that is allowed.

Explanation
-----------
A request that did not run may be sent to another replica, whatever the kind of
its route. A request that may have run is sent again only if its route is
idempotent. The attempts are bounded by the route's number of attempts and
time-out, and by the time that the caller waits.

"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

from prometheus_client import Histogram

from ladder_clients.exchanges import StreamedResponse
from ladder_clients.replicas import CallerRequest, ReplicaClient
from ladder_core.errors import (
    LadderError,
    TargetTimeoutError,
    TargetUnavailableError,
)
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Route, RouteKind
from ladder_node.forwarding.attempts import (
    CompleteResponse,
    RequestAttempts,
    make_deadline_error,
)
from ladder_node.forwarding.outcomes import (
    MIN_SERVER_ERROR_STATUS,
    record_failure,
    record_refusal,
    record_response,
)
from ladder_node.forwarding.planner import RunPlanner
from ladder_node.forwarding.run_sender import RunSender
from ladder_node.forwarding.selector import ReplicaSelector
from ladder_node.forwarding.stream_binding import StreamBinding
from ladder_node.quarantine import (
    GuardedRequest,
    RunGuard,
    identify_request,
)
from ladder_node.replicas import ReplicaRecord
from ladder_node.stream_origins import StreamOrigins

_forwarded_histogram = Histogram(
    'ladder_forward_seconds',
    'Time from a request to the end of its answer, by service and outcome',
    ('service', 'outcome'),
    buckets=(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)


class Forwarder:
    """
    Forward requests to replicas.

    Parameters
    ----------
    selector : ReplicaSelector
        Selects the replica of each attempt.
    client : ReplicaClient
        Sends requests to replicas.
    guard : RunGuard
        Refuses requests that crash replicas.
    timers : TimerService
        Clock of the deadlines, and sleep between attempts.
    timeline : Timeline
        Records one event at the end of each request.
    origins : StreamOrigins, optional
        Knows where streams began; without it no stream goes on.

    """

    def __init__(
        self,
        selector: ReplicaSelector,
        client: ReplicaClient,
        guard: RunGuard,
        timers: TimerService,
        timeline: Timeline,
        origins: StreamOrigins | None = None,
    ) -> None:
        self._binding = StreamBinding(origins)
        self._selector = selector
        self._client = client
        self._sender = RunSender(client, guard, timers)
        self._guard = guard
        self._planner = RunPlanner(selector, guard, timers)
        self._timers = timers
        self._timeline = timeline

    async def forward(
        self,
        route: Route,
        request: CallerRequest,
        seconds: float,
        on_failure: Callable[[], None] | None = None,
    ) -> CompleteResponse:
        """
        Forward a request and return the complete response.

        Parameters
        ----------
        route : Route
            Route of the request, which decides on retries.
        request : CallerRequest
            The request as the caller sent it.
        seconds : float
            Time that the caller waits. The time-out of the route applies, too.
        on_failure : callable, optional
            Called for each response that reports a failed run.

        Raises
        ------
        TargetUnavailableError, QuarantinedRequestError
            The request has not run and will not run.
        DeadlineError
            The time is over; the request may have run.
        TargetLostError, TargetTimeoutError, AnswerCorruptError
            The request may have run, and must not be sent again.

        """
        limit = min(seconds, route.timeout_seconds)
        request = replace(request, priority=route.priority)
        attempts = self._begin(route, request, limit)
        if on_failure is not None:
            attempts.on_failed_run = on_failure
        outcome = 'cancelled'
        try:
            async with asyncio.timeout(limit):
                response = await self._attempt_replicas(
                    route, request, attempts
                )
            outcome = str(response.status)
        except TimeoutError as error:
            outcome = 'deadline'
            raise make_deadline_error(attempts, limit) from error
        except LadderError as error:
            outcome = error.kind
            raise
        finally:
            self._guard.release(attempts.guarded)
            self._record_end(route, request, attempts, outcome)
        return response

    @contextlib.asynccontextmanager
    async def stream(
        self,
        route: Route,
        request: CallerRequest,
        seconds: float,
    ) -> AsyncIterator[StreamedResponse]:
        """
        Forward a request and yield its response while it is received.

        A stream that the caller takes up again goes on only at the software
        that wrote its first event.

        Raises
        ------
        TargetUnavailableError, QuarantinedRequestError
            The request has not run and will not run.
        TargetLostError, TargetTimeoutError, AnswerCorruptError
            The request may have run.

        """
        request = replace(request, priority=route.priority)
        attempts = self._begin(route, request, seconds)
        outcome = 'cancelled'
        try:
            await self._binding.bind(route, request, attempts)
            async with self._open_any(request, attempts) as response:
                self._binding.tell(request, attempts)
                yield response
        except LadderError as error:
            outcome = error.kind
            raise
        else:
            self._binding.end(request)
            outcome = str(response.status)
        finally:
            self._guard.release(attempts.guarded)
            self._record_stream_end(route, request, attempts, outcome)

    @contextlib.asynccontextmanager
    async def _open_any(
        self, request: CallerRequest, attempts: RequestAttempts
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request to one replica after the other until one runs it."""
        while True:
            record = await self._planner.plan(attempts)
            try:
                async with self._sender.open(
                    record, request, attempts
                ) as response:
                    yield response
                    return
            except TargetUnavailableError as error:
                record_refusal(record, attempts, error, self._timers.now())

    def _begin(
        self, route: Route, request: CallerRequest, seconds: float
    ) -> RequestAttempts:
        service = self._selector.choose_service(route)
        may_repeat = route.kind is RouteKind.idempotent or route.is_resumable
        started_at = self._timers.now()
        return RequestAttempts(
            GuardedRequest(identify_request(request)),
            service,
            not may_repeat,
            started_at,
            started_at + seconds,
            priority=request.priority,
        )

    def _record_end(
        self,
        route: Route,
        request: CallerRequest,
        attempts: RequestAttempts,
        outcome: str,
    ) -> None:
        elapsed_seconds = self._timers.now() - attempts.started_at
        _forwarded_histogram.labels(attempts.service, outcome).observe(
            elapsed_seconds
        )
        self._timeline.record(
            'request-ended',
            request.request_id,
            content=attempts.guarded.digest,
            route=route.name,
            service=attempts.service,
            outcome=outcome,
            seconds=round(elapsed_seconds, 4),
            limit=round(attempts.deadline - attempts.started_at, 3),
            sent_to=','.join(sorted(attempts.sent_to)),
            refused_by=','.join(sorted(attempts.refused_by)),
        )

    def _record_stream_end(
        self,
        route: Route,
        request: CallerRequest,
        attempts: RequestAttempts,
        outcome: str,
    ) -> None:
        replica = attempts.answered_by
        self._timeline.record(
            'stream-ended',
            request.request_id,
            content=attempts.guarded.digest,
            route=route.name,
            service=attempts.service,
            outcome=outcome,
            seconds=round(self._timers.now() - attempts.started_at, 4),
            replica=replica.name if replica else '',
            software=replica.software_id if replica else '',
            first_attempt=request.first_attempt,
            last_event=request.last_event,
            refused_by=','.join(sorted(attempts.refused_by)),
        )

    async def _attempt_replicas(
        self,
        route: Route,
        request: CallerRequest,
        attempts: RequestAttempts,
    ) -> CompleteResponse:
        response = None
        while response is None:
            try:
                record = await self._planner.plan(attempts)
            except LadderError:
                if attempts.failed_response is None:
                    raise
                return attempts.failed_response
            response = await self._attempt_replica(
                route, request, record, attempts
            )
        return response

    async def _attempt_replica(
        self,
        route: Route,
        request: CallerRequest,
        record: ReplicaRecord,
        attempts: RequestAttempts,
    ) -> CompleteResponse | None:
        """Return the response, or None if another replica is to be tried."""
        try:
            return await self._attempt(route, request, record, attempts)
        except TargetUnavailableError as error:
            record_refusal(record, attempts, error, self._timers.now())
        except LadderError as error:
            record_failure(record, attempts, error, self._timers.now())
            if not self._planner.may_repeat(route, attempts):
                raise
        return None

    async def _attempt(
        self,
        route: Route,
        request: CallerRequest,
        record: ReplicaRecord,
        attempts: RequestAttempts,
    ) -> CompleteResponse | None:
        """Return the response, or None if it failed and may be repeated."""
        started_at = self._timers.now()
        limit = self._planner.find_limit(route, attempts, record)
        try:
            async with asyncio.timeout(limit):
                async with self._sender.open(
                    record, request, attempts
                ) as response:
                    body = await _read_whole(response, request)
        except TimeoutError as error:
            raise TargetTimeoutError(
                f'{record.name} did not answer within {limit:.2f} s',
                remedy='send the request to another replica',
            ) from error
        record_response(
            record, attempts, response.status, started_at, self._timers.now()
        )
        complete = CompleteResponse(
            response.status,
            response.headers,
            body,
            record.name,
            self._client.find_signature(response),
        )
        is_failure = response.status >= MIN_SERVER_ERROR_STATUS
        if is_failure and self._planner.may_repeat(route, attempts):
            attempts.failed_response = complete
            return None
        return complete


async def _read_whole(
    response: StreamedResponse, request: CallerRequest
) -> bytes:
    """Read a response as far as its memory may be held."""
    if request.hold_response is not None:
        response.before_growth = request.hold_response
    return await response.read()
