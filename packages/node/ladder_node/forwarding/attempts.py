"""State of the attempts at one request, and its complete response."""

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ladder_clients.exchanges import Header
from ladder_core.errors import (
    DeadlineError,
    LadderError,
    TargetFullError,
    TargetUnavailableError,
)
from ladder_core.values import Replica
from ladder_node.quarantine import GuardedRequest
from ladder_node.replicas import ReplicaRecord
from ladder_node.usage import UsageMark

# Time after which a caller may send a refused request again; by then a replica
# may be free.
RETRY_AFTER_SECONDS = 0.3
# Bytes of bodies that this node has in flight at one replica, which crashes if
# the requests that it holds exceed its memory: two of the largest bodies.
_MAX_BYTES_IN_FLIGHT = 67_108_864


def _ignore() -> None:
    """Ignore a failed run, or a refusal."""


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """
    A complete response of a replica.

    Attributes
    ----------
    status : int
        HTTP status code of the response.
    headers : tuple of Header
        Header fields in the order in which the replica sent them.
    body : bytes
        The complete body.
    replica : str
        Name of the replica that answered.
    signature : str
        Signature of the response by the replica; empty if it has none.

    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    replica: str
    signature: str = ''


@dataclass(slots=True)
class RequestAttempts:
    """
    The attempts at one request.

    Attributes
    ----------
    guarded : GuardedRequest
        The request as the guard knows it.
    service : str
        Name of the service that the request is for.
    needs_new_connection : bool
        Whether the request may run only once, so that each attempt needs a
        connection on which no other request was sent.
    started_at, deadline : float
        Times on the clock of the timer service at which the request arrived,
        and by which the caller gets a response.
    sent_to : set of str
        Names of the replicas that may have run the request.
    refused_by : set of str
        Names of the replicas that did not run the request.
    refusals : int
        Number of refusals, repeated ones of a replica included.
    priority : int
        Priority of the request; zero is the highest.
    software_id : str
        Identifies the software that the request has to go on at; empty if any
        may run it.
    failed_response : CompleteResponse or None
        Latest response that reports a failure; it is delivered if no replica
        is left to try.
    answered_by : Replica or None
        Replica that has answered last.
    on_failed_run : callable
        Called for each response that reports a failed run.
    on_full : callable
        Called when a replica refuses the request because it is full.
    usage_mark : UsageMark or None
        Tells in which window the request was counted; None if it was not.
    kind : str
        Kind of the request, by which durations are learned.

    """

    guarded: GuardedRequest
    service: str
    needs_new_connection: bool
    started_at: float
    deadline: float
    sent_to: set[str] = field(default_factory=set)
    refused_by: set[str] = field(default_factory=set)
    refusals: int = 0
    priority: int = 0
    software_id: str = ''
    failed_response: CompleteResponse | None = None
    answered_by: Replica | None = None
    on_failed_run: Callable[[], None] = _ignore
    on_full: Callable[[], None] = _ignore
    usage_mark: UsageMark | None = None
    kind: str = ''

    @property
    def tried(self) -> set[str]:
        """Names of all replicas that the request was sent to."""
        return self.sent_to | self.refused_by


@contextlib.contextmanager
def track_request(record: ReplicaRecord, body_bytes: int) -> Iterator[None]:
    """
    Count a request as in flight at a replica.

    Raises
    ------
    TargetFullError
        The replica has as many bytes of this node as it may; nothing was sent.

    """
    others_bytes = record.bytes_in_flight
    if others_bytes and others_bytes + body_bytes > _MAX_BYTES_IN_FLIGHT:
        raise TargetFullError(
            f'{record.name} has {others_bytes} bytes of requests in flight',
            remedy='send the request to another replica',
        )
    record.in_flight += 1
    record.bytes_in_flight += body_bytes
    try:
        yield
    finally:
        record.in_flight -= 1
        record.bytes_in_flight -= body_bytes


def make_deadline_error(
    attempts: RequestAttempts, timeout_seconds: float
) -> LadderError:
    """Return the error of a request whose time is over."""
    if not attempts.sent_to:
        return TargetUnavailableError(
            f'no replica of {attempts.service} took the request'
            f' in {timeout_seconds:.2f} s',
            remedy='send the request again later',
            retry_after=RETRY_AFTER_SECONDS,
        )
    return DeadlineError(
        f'no answer within {timeout_seconds:.2f} s',
        remedy='allow more time, or read back whether it took effect',
    )
