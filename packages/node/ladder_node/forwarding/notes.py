"""What a try of a request tells of the replica that it was sent to."""

from prometheus_client import Counter

from ladder_core.errors import (
    LadderError,
    TargetChangedError,
    TargetFullError,
)
from ladder_node.forwarding.tries import Tries
from ladder_node.replicas import ReplicaRecord

SERVER_ERROR = 500
_RUN_FAILED = 500
# Time for which a replica that was full gets no request of this node.
_FULL_REST_SECONDS = 0.1

_tries_counter = Counter(
    'ladder_forward_tries_total',
    'Requests sent to replicas of plain services, by what came of them',
    ('service', 'outcome'),
)


def note_answer(
    record: ReplicaRecord,
    tries: Tries,
    status: int,
    began: float,
    now: float,
) -> None:
    """Note a whole answer."""
    if status < SERVER_ERROR:
        record.note_success(now - began, now)
        _tries_counter.labels(tries.service, 'answered').inc()
        return
    record.note_failed_answer(now)
    _tries_counter.labels(tries.service, 'failed').inc()
    if status == _RUN_FAILED:
        tries.note_failure()


def note_refusal(
    record: ReplicaRecord,
    tries: Tries,
    error: LadderError,
    now: float,
) -> None:
    """Note a replica that did not run the request."""
    tries.refusals += 1
    tries.refused_by.add(record.name)
    _tries_counter.labels(tries.service, error.kind).inc()
    if isinstance(error, TargetFullError):
        record.rest(now + _FULL_REST_SECONDS)
    elif not isinstance(error, TargetChangedError):
        record.note_failure(now, is_down=True)


def note_failure(
    record: ReplicaRecord,
    tries: Tries,
    error: LadderError,
    now: float,
) -> None:
    """Note a try that may have run the request and brought no answer."""
    record.note_failure(now)
    _tries_counter.labels(tries.service, error.kind).inc()
