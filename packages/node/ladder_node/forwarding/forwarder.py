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
    EndRecorder,
    record_failure,
    record_refusal,
    record_response,
)
from ladder_node.forwarding.parts import ForwarderParts
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
    parts : ForwarderParts, optional
        What it shares with other parts of the node.

    """

    def __init__(
        self,
        selector: ReplicaSelector,
        client: ReplicaClient,
        guard: RunGuard,
        timers: TimerService,
        timeline: Timeline,
        parts: ForwarderParts | None = None,
    ) -> None:
        self._parts = parts or ForwarderParts()
        self._binding = StreamBinding(self._parts.origins)
        self._selector = selector
        self._client = client
        self._sender = RunSender(client, guard, timers, self._parts.usage)
        self._guard = guard
        self._planner = RunPlanner(selector, guard, timers)
        self._timers = timers
        self._recorder = EndRecorder(timers, timeline)

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
        TargetUnavailableError, QuarantinedRequestError, OverloadedError
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
                async with self._parts.enter(request, attempts) as place:
                    response = await self._attempt_replicas(
                        route, request, attempts
                    )
                    place.is_served = True
            outcome = str(response.status)
        except TimeoutError as error:
            outcome = 'deadline'
            raise make_deadline_error(attempts, limit) from error
        except LadderError as error:
            outcome = error.kind
            raise
        finally:
            self._guard.release(attempts.guarded)
            self._recorder.record_end(route, request, attempts, outcome)
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
        TargetUnavailableError, QuarantinedRequestError, OverloadedError
            The request has not run and will not run.
        TargetLostError, TargetTimeoutError, AnswerCorruptError
            The request may have run.

        """
        request = replace(request, priority=route.priority)
        attempts = self._begin(route, request, seconds)
        outcome = 'cancelled'
        try:
            await self._binding.bind(route, request, attempts)
            async with (
                self._parts.enter(request, attempts) as place,
                self._open_any(request, attempts) as response,
            ):
                self._binding.tell(request, attempts)
                yield response
                place.is_served = True
        except LadderError as error:
            outcome = error.kind
            raise
        else:
            self._binding.end(request)
            outcome = str(response.status)
        finally:
            self._guard.release(attempts.guarded)
            self._recorder.record_stream_end(route, request, attempts, outcome)

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
            kind=route.name,
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
            now = self._timers.now()
            record.record_abandoned(now - started_at, now, attempts.kind)
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
