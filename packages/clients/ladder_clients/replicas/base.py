"""The contract of a client of replicas."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

from ladder_clients.exchanges import StreamedResponse
from ladder_clients.replicas.messages import (
    CallerRequest,
    OrderOutcome,
    TaskRequest,
    TextEvent,
    VersionOrder,
)
from ladder_core.values import Replica


class ReplicaClient(ABC):
    """Passes requests to replicas, generates on them and gives them orders."""

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
        Pass a caller's request on and hand out the answer.

        Parameters
        ----------
        replica : Replica
            Where to; any other process at its address does not run it.
        request : CallerRequest
            The request.
        timeout_seconds : float
            Time that the caller still waits.
        needs_new_connection : bool, optional
            Whether a new connection must be used, since the request may run
            once only.

        Raises
        ------
        TargetUnavailableError
            The request did not run.
        TargetLostError, TargetTimeoutError, AnswerCorruptError
            The request may have run.

        """

    @abstractmethod
    def generate(
        self,
        replica: Replica,
        task: TaskRequest,
    ) -> AsyncIterator[TextEvent]:
        """
        Run a task and yield its events; the end of the text ends it.

        Raises
        ------
        TargetUnavailableError
            The task did not run.
        RunFailedError
            The run failed and may be repeated.
        TaskRejectedError
            No run of the task can succeed.
        TargetLostError, TargetTimeoutError, AnswerCorruptError
            The text ended early; it can be resumed.

        """

    @abstractmethod
    async def order_version(
        self,
        replica: Replica,
        order: VersionOrder,
    ) -> OrderOutcome:
        """
        Order a replica to load a version.

        Raises
        ------
        TransportError
            The order may take effect later, or not at all.

        """

    @abstractmethod
    async def read_state(self, replica: Replica) -> Replica:
        """
        Return what a replica says of itself now.

        Raises
        ------
        TransportError, TargetUnavailableError
            The replica does not answer.

        """

    @abstractmethod
    def find_signature(self, answer: StreamedResponse) -> str:
        """Return a replica's signature of an answer, or nothing."""

    @abstractmethod
    def count_idle(self, replica: Replica) -> int:
        """Return how many connections to a replica are kept and free."""
