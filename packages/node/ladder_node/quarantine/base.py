"""Interface of guards of runs at replicas, and one that admits everything."""

from abc import ABC, abstractmethod
from collections.abc import Collection
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from ladder_core.values import Replica
from ladder_node.quarantine.detector import CrashDetector
from ladder_policy.quarantine import RequestState


@dataclass(slots=True, eq=False)
class GuardedRequest:
    """
    One attempt at a request, which a guard admits run by run.

    Attributes
    ----------
    digest : str
        Digest of the request, from `identify_request`.
    trial : int or None
        Number of the trial that was claimed for this attempt and has not begun.

    """

    digest: str
    trial: int | None = None


class RunGuard(ABC):
    """
    Decides whether a request may be sent to a replica once more.

    Notes
    -----
    A path that sends a caller's request to replicas asks a guard before each
    run, runs the request inside `watch`, and releases it in the end.

    """

    @abstractmethod
    async def admit(self, request: GuardedRequest) -> None:
        """
        Return if a request may be sent to a replica now.

        Parameters
        ----------
        request : GuardedRequest
            The attempt; it keeps a trial that is claimed for it.

        Raises
        ------
        QuarantinedRequestError
            The request has crashed replicas and is not run at present.

        """

    @abstractmethod
    def release(self, request: GuardedRequest) -> None:
        """End an attempt, and withdraw a trial that has not begun."""

    @abstractmethod
    def find_state(self, digest: str) -> RequestState:
        """Return the state of a request by the present verdict."""

    @abstractmethod
    def list_occupied(self) -> Collection[str]:
        """Return the replicas at which this node runs suspects."""

    @abstractmethod
    def watch(
        self, request: GuardedRequest, replica: Replica
    ) -> AbstractAsyncContextManager[None]:
        """Return a context manager whose body runs a request at a replica."""


class UnlimitedRuns(RunGuard):
    """
    Admits every run; crashes are detected and logged.

    Explanation
    -----------
    Scoring calls are work that the service owes, so none is refused for the
    crashes of replicas.

    Parameters
    ----------
    detector : CrashDetector
        Detects crashes of replicas.

    """

    def __init__(self, detector: CrashDetector) -> None:
        self._detector = detector

    async def admit(self, request: GuardedRequest) -> None:
        """Admit the run."""

    def release(self, request: GuardedRequest) -> None:
        """Do nothing."""

    def find_state(self, digest: str) -> RequestState:
        """Return that the request is clear."""
        return RequestState.clear

    def list_occupied(self) -> Collection[str]:
        """Return no replica."""
        return ()

    def watch(
        self, request: GuardedRequest, replica: Replica
    ) -> AbstractAsyncContextManager[None]:
        """Watch whether the process of the replica crashes."""
        return self._detector.watch(request.digest, replica)
