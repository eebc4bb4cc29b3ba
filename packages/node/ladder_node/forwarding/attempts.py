"""What has been tried for one request."""

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ladder_clients.exchanges import Header
from ladder_core.errors import (
    DeadlineError,
    LadderError,
    TargetUnavailableError,
)
from ladder_node.replicas import ReplicaRecord

# Time after which a refused request may find a free replica.
RETRY_AFTER_SECONDS = 0.3


def _ignore() -> None:
    """Take no note."""


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """
    A replica's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of Header
        Header fields as the replica sent them.
    body : bytes
        The whole body.
    replica : str
        Name of the replica.
    signature : str
        The replica's signature of the answer; empty if it has none.

    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    replica: str
    signature: str = ''


@dataclass(slots=True)
class RequestAttempts:
    """
    What has been tried for one request.

    Attributes
    ----------
    service : str
        Service that it goes to.
    is_fresh : bool
        Whether it may run once only, so that each try needs a connection on
        which nothing else was sent.
    began, deadline : float
        Times by the timer service at which the request came, and at which
        the caller has an answer.
    sent_to : set of str
        Replicas that may have run it.
    refused_by : set of str
        Replicas that did not run it.
    refusals : int
        Number of refusals.
    on_failed_run : callable
        Called for each answer that said that a run failed.

    """

    service: str
    needs_new_connection: bool
    started_at: float
    deadline: float
    sent_to: set[str] = field(default_factory=set)
    refused_by: set[str] = field(default_factory=set)
    refusals: int = 0
    on_failed_run: Callable[[], None] = _ignore

    @property
    def tried(self) -> set[str]:
        """All replicas that were tried."""
        return self.sent_to | self.refused_by


@contextlib.contextmanager
def track_request(record: ReplicaRecord) -> Iterator[None]:
    """Count a request that a replica has."""
    record.in_flight += 1
    try:
        yield
    finally:
        record.in_flight -= 1


def make_deadline_error(attempts: RequestAttempts, limit: float) -> LadderError:
    """Return the error of a request whose time has passed."""
    if not attempts.sent_to:
        return TargetUnavailableError(
            f'no replica of {attempts.service} took the request in {limit:.2f} s',
            remedy='send the request again later',
            retry_after=RETRY_AFTER_SECONDS,
        )
    return DeadlineError(
        f'no answer within {limit:.2f} s',
        remedy='allow more time, or read back whether it took effect',
    )
