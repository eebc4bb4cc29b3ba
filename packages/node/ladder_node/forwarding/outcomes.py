"""Record the outcomes of attempts and of requests."""

from prometheus_client import Counter, Histogram

from ladder_clients.replicas import CallerRequest
from ladder_core.errors import (
    AnswerEndlessError,
    LadderError,
    PathLostError,
    TargetFullError,
    TargetLimitedError,
)
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Route
from ladder_node.forwarding.attempts import RequestAttempts
from ladder_node.replicas import ReplicaRecord

MIN_SERVER_ERROR_STATUS = 500
_RUN_FAILED_STATUS = 500
# Time for which this node sends no request to a replica that was full.
_FULL_PAUSE_SECONDS = 0.1

_attempts_counter = Counter(
    'ladder_forward_tries_total',
    'Requests sent to replicas of plain services, by what came of them',
    ('service', 'outcome'),
)
_forwarded_histogram = Histogram(
    'ladder_forward_seconds',
    'Time from a request to the end of its answer, by service and outcome',
    ('service', 'outcome'),
    buckets=(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)


class EndRecorder:
    """
    Record the ends of requests.

    Parameters
    ----------
    timers : TimerService
        Clock of the durations.
    timeline : Timeline
        Receives one event for each request.

    """

    def __init__(self, timers: TimerService, timeline: Timeline) -> None:
        self._timers = timers
        self._timeline = timeline

    def record_end(
        self,
        route: Route,
        request: CallerRequest,
        attempts: RequestAttempts,
        outcome: str,
    ) -> None:
        """Record the end of a request with a whole response, or without."""
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

    def record_stream_end(
        self,
        route: Route,
        request: CallerRequest,
        attempts: RequestAttempts,
        outcome: str,
    ) -> None:
        """Record the end of a streamed response."""
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


def record_response(
    record: ReplicaRecord,
    attempts: RequestAttempts,
    status: int,
    started_at: float,
    now: float,
) -> None:
    """Record a complete response."""
    if status < MIN_SERVER_ERROR_STATUS:
        record.record_success(now - started_at, now, attempts.kind)
        _attempts_counter.labels(attempts.service, 'answered').inc()
        return
    record.record_failed_response(now)
    _attempts_counter.labels(attempts.service, 'failed').inc()
    if status == _RUN_FAILED_STATUS:
        attempts.on_failed_run()


def record_refusal(
    record: ReplicaRecord,
    attempts: RequestAttempts,
    error: LadderError,
    now: float,
) -> None:
    """Record that a replica did not run the request."""
    attempts.refusals += 1
    attempts.refused_by.add(record.name)
    _attempts_counter.labels(attempts.service, error.kind).inc()
    if isinstance(error, TargetFullError):
        record.pause(now + _FULL_PAUSE_SECONDS)
        attempts.on_full()
    elif not isinstance(error, TargetLimitedError):
        record.record_failure(now, is_unreachable=True)


def record_failure(
    record: ReplicaRecord,
    attempts: RequestAttempts,
    error: LadderError,
    now: float,
) -> None:
    """Record an attempt without a response that may have run the request."""
    if not isinstance(error, PathLostError):
        is_endless = isinstance(error, AnswerEndlessError)
        record.record_failure(now, is_unreachable=is_endless)
    _attempts_counter.labels(attempts.service, error.kind).inc()
