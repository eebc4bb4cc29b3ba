"""What is known of requests that may crash the targets that run them."""

import hashlib
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from ladder_core.timers import TimerService

SUSPICION_SECONDS = 600
REFUSAL_SECONDS = 86_400

_MAX_ENTRIES = 8192


class SuspicionState(StrEnum):
    """What is known of one request."""

    clear = 'clear'
    suspect = 'suspect'
    refused = 'refused'


def make_request_digest(*parts: str) -> str:
    """
    Return a digest that is equal for the same request sent again.

    Parameters
    ----------
    *parts : str
        What decides whether a request crashes a target.

    """
    return hashlib.sha256('\0'.join(parts).encode()).hexdigest()


class SuspectRegistry(ABC):
    """Standings of requests by digest, shared by the nodes."""

    @abstractmethod
    def read(self, digest: str) -> SuspicionState:
        """Return a request's standing as far as this node knows."""

    @abstractmethod
    def write(self, digest: str, state: SuspicionState) -> None:
        """
        Set a request's standing, here and at the other nodes.

        Parameters
        ----------
        digest : str
            The request.
        state : SuspicionState
            A refusal holds until it expires, whatever is written after it.

        """


SuspicionCallback = Callable[[str, SuspicionState], None]


class MemorySuspectRegistry(SuspectRegistry):
    """
    Standings of one process, bounded and with an expiry.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    max_entries : int, optional
        Number of standings kept; the oldest are dropped first.

    """

    def __init__(
        self,
        timers: TimerService,
        max_entries: int = _MAX_ENTRIES,
    ) -> None:
        self._timers = timers
        self._max_entries = max_entries
        self._states: OrderedDict[str, tuple[SuspicionState, float]] = (
            OrderedDict()
        )

    def read(self, digest: str) -> SuspicionState:
        """Return a request's standing."""
        state, deadline = self._states.get(digest, (SuspicionState.clear, 0))
        return state if self._timers.now() < deadline else SuspicionState.clear

    def write(self, digest: str, state: SuspicionState) -> None:
        """Set a request's standing."""
        if self.read(digest) is SuspicionState.refused:
            return
        if state is SuspicionState.clear:
            self._states.pop(digest, None)
            return
        seconds = SUSPICION_SECONDS
        if state is SuspicionState.refused:
            seconds = REFUSAL_SECONDS
        self._states[digest] = (state, self._timers.now() + seconds)
        self._states.move_to_end(digest)
        if len(self._states) > self._max_entries:
            self._states.popitem(last=False)
