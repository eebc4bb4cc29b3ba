"""Interface of clients of replicas."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from ladder_clients.exchanges import StreamedResponse
from ladder_clients.replicas.messages import (
    CallerRequest,
    CallKind,
    OrderOutcome,
    TaskRequest,
    TextEvent,
    VersionOrder,
)
from ladder_core.values import Replica


class DepartureRecorder(ABC):
    """
    Knows the replica processes that are leaving.

    A replica that leaves says so in its responses, which may be long before
    its entry in the list of replicas changes.
    """

    @abstractmethod
    def record_leaving(self, replica: Replica) -> None:
        """Record that the process of a replica said that it leaves."""

    @abstractmethod
    def is_leaving(self, replica: Replica) -> bool:
        """Return whether the process of a replica is leaving."""


@dataclass(frozen=True, slots=True)
class PermitDenial:
    """
    Why no request may be sent to a replica that limits their rate.

    Attributes
    ----------
    rate : float
        Requests a second that the replica accepts from all nodes together.
    retry_seconds : float
        Time after which the request should be sent again, so that requests
        return one after the other.

    """

    rate: float
    retry_seconds: float


class Reservation(ABC):
    """The right to write one request to a replica."""

    @abstractmethod
    def use(self) -> None:
        """
        Use the reservation; called right before the request is written.

        Raises
        ------
        TargetLimitedError
            The right has expired, or the replica has named a limit since the
            reservation.

        """


class RateLimiter(ABC):
    """
    Keeps the request rates that replica processes limit.

    A replica in need names in its responses the rate that it accepts from all
    nodes together; a response that names none ends the limit.
    """

    @abstractmethod
    def record(self, replica: Replica, rate: float | None) -> None:
        """
        Record what a response of a replica says of its rate.

        Parameters
        ----------
        replica : Replica
            Replica whose process has answered.
        rate : float or None
            Requests a second from all nodes together; None for no limit.

        """

    @abstractmethod
    def reserve(
        self, replica: Replica, kind: CallKind, priority: int
    ) -> AbstractAsyncContextManager[Reservation]:
        """
        Reserve the right to write one request to a replica.

        Parameters
        ----------
        replica : Replica
            Replica that the request is for.
        kind : CallKind
            Kind of the request, by which it is counted.
        priority : int
            Priority of the request; the lowest number is the most urgent.

        Raises
        ------
        TargetLimitedError
            No request may be sent to the replica at present.

        """

    @abstractmethod
    def find_rate(self, replica: Replica) -> float | None:
        """Return the rate that a replica limits; None for no limit."""

    @abstractmethod
    def find_denial(
        self, replica: Replica, priority: int
    ) -> PermitDenial | None:
        """Return why no request of a priority may be sent; None if it may."""


class ReplicaClient(ABC):
    """Client that sends requests, tasks and orders to replicas."""

    @abstractmethod
    def open(
        self,
        replica: Replica,
        request: CallerRequest,
        timeout_seconds: float,
        *,
        needs_new_connection: bool = False,
    ) -> AbstractAsyncContextManager[StreamedResponse]:
        """
        Forward a caller's request to a replica and yield the response.

        Parameters
        ----------
        replica : Replica
            Replica that has to execute the request; another process at the
            same address refuses it.
        request : CallerRequest
            Request to forward.
        timeout_seconds : float
            Time that is left until the deadline of the caller.
        needs_new_connection : bool, optional
            Whether the request must not reuse a connection, because it may be
            executed only once.

        Raises
        ------
        TargetUnavailableError
            The request was not executed.
        TargetLostError, TargetTimeoutError, AnswerCorruptError
            The request may have been executed.

        """

    @abstractmethod
    def generate(
        self,
        replica: Replica,
        task: TaskRequest,
    ) -> AsyncIterator[TextEvent]:
        """
        Run a task on a replica and yield its events up to the end of the text.

        Parameters
        ----------
        replica : Replica
            Replica that runs the task.
        task : TaskRequest
            Task to run, and the event from which it resumes.

        Raises
        ------
        TargetUnavailableError
            The task was not run.
        RunFailedError
            The run failed; the task can be retried.
        TaskRejectedError
            The replica rejects the task; retries are useless.
        TargetLostError, TargetTimeoutError, AnswerCorruptError
            The text ended early; the task can be resumed.

        """

    @abstractmethod
    async def order_version(
        self,
        replica: Replica,
        order: VersionOrder,
    ) -> OrderOutcome:
        """
        Order a replica to load a version of a model's weights.

        Parameters
        ----------
        replica : Replica
            Replica that has to load the version.
        order : VersionOrder
            Version to load, and the lease under which the order is given.

        Raises
        ------
        TransportError
            No response arrived; the order may take effect later or not at all.

        """

    @abstractmethod
    async def read_state(self, replica: Replica) -> Replica:
        """
        Read the current state of a replica from the replica itself.

        Raises
        ------
        TransportError, TargetUnavailableError
            The replica does not answer.

        """

    @abstractmethod
    def find_signature(self, response: StreamedResponse) -> str:
        """Return a replica's signature of a response, or an empty string."""

    @abstractmethod
    def count_idle(self, replica: Replica) -> int:
        """Return the number of idle connections to a replica."""

    @abstractmethod
    def find_rate(self, replica: Replica) -> float | None:
        """Return the requests a second that a replica limits, or None."""

    @abstractmethod
    def find_denial(
        self, replica: Replica, priority: int
    ) -> PermitDenial | None:
        """Return why no request of a priority may be sent; None if it may."""
