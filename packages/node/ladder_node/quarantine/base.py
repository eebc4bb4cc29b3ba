"""Interface of guards of runs at replicas, and one that admits everything."""

from abc import ABC, abstractmethod
from collections.abc import Collection
from contextlib import AbstractAsyncContextManager

from ladder_core.values import Replica
from ladder_node.quarantine.detector import CrashDetector
from ladder_policy.quarantine import RequestState


class RunGuard(ABC):
    """
    Decides whether a request may be sent to a replica once more.

    Notes
    -----
    Every path that sends a request to replicas asks a guard before each run,
    and runs the request inside `watch`.

    """

    @abstractmethod
    async def admit(self, digest: str) -> None:
        """
        Return if a request may be sent to a replica now.

        Parameters
        ----------
        digest : str
            Digest of the request, from `identify_request`.

        Raises
        ------
        QuarantinedRequestError
            The request has crashed replicas and is not run at present.

        """

    @abstractmethod
    def release(self, digest: str) -> None:
        """End an attempt, whether or not a replica has run the request."""

    @abstractmethod
    def find_wait(self, digest: str) -> float:
        """Return the seconds until `admit` may admit a request."""

    @abstractmethod
    def find_state(self, digest: str) -> RequestState:
        """Return what is believed of a request."""

    @abstractmethod
    def list_occupied(self) -> Collection[str]:
        """Return the replicas at which this node runs suspects."""

    @abstractmethod
    def watch(
        self, digest: str, replica: Replica
    ) -> AbstractAsyncContextManager[None]:
        """Return a context manager whose body runs a request at a replica."""


class UnlimitedRuns(RunGuard):
    """
    Admits every run; crashes are detected and logged.

    Parameters
    ----------
    detector : CrashDetector
        Detects crashes of replicas.

    """

    def __init__(self, detector: CrashDetector) -> None:
        self._detector = detector

    async def admit(self, digest: str) -> None:
        """Admit the run."""

    def release(self, digest: str) -> None:
        """Do nothing."""

    def find_wait(self, digest: str) -> float:
        """Return zero."""
        return 0

    def find_state(self, digest: str) -> RequestState:
        """Return that the request is clear."""
        return RequestState.clear

    def list_occupied(self) -> Collection[str]:
        """Return no replica."""
        return ()

    def watch(
        self, digest: str, replica: Replica
    ) -> AbstractAsyncContextManager[None]:
        """Watch whether the process of the replica crashes."""
        return self._detector.watch(digest, replica)
