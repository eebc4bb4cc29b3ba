"""States of requests that may crash the targets that run them."""

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
    """
    Suspicion state of one request.

    Notes
    -----
    A request is `clear` if no crash is known, `suspect` if its target crashed
    while it was in flight, and `refused` if a target crashed that ran it alone.

    """

    clear = 'clear'
    suspect = 'suspect'
    refused = 'refused'


def make_request_digest(*parts: str) -> str:
    """
    Return a digest that identifies a request when it is sent again.

    Parameters
    ----------
    *parts : str
        Parts of the request that determine whether it crashes a target, such
        as model and prompt.

    """
    return hashlib.sha256('\0'.join(parts).encode()).hexdigest()


class SuspectRegistry(ABC):
    """Suspicion states of requests by digest, shared by the nodes."""

    @abstractmethod
    def read(self, digest: str) -> SuspicionState:
        """Return the state of a request as far as this node knows."""

    @abstractmethod
    def write(self, digest: str, state: SuspicionState) -> None:
        """
        Set the state of a request, here and on the other nodes.

        Parameters
        ----------
        digest : str
            Digest that identifies the request.
        state : SuspicionState
            The new state; it is ignored while a refusal has not expired.

        """


SuspicionCallback = Callable[[str, SuspicionState], None]


class MemorySuspectRegistry(SuspectRegistry):
    """
    Suspicion states in the memory of one process.

    Explanation
    -----------
    The number of entries is bounded, and every entry expires.

    Parameters
    ----------
    timers : TimerService
        Clock for the expiry of entries.
    max_entries : int, optional
        Largest number of entries; the oldest are evicted first.

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
        """Return the state of a request; clear if none is known."""
        state, deadline = self._states.get(digest, (SuspicionState.clear, 0))
        return state if self._timers.now() < deadline else SuspicionState.clear

    def write(self, digest: str, state: SuspicionState) -> None:
        """Set the state of a request, unless it is refused."""
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
