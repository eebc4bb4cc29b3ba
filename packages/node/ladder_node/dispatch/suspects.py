"""What is known of requests that may crash the targets that run them."""

import hashlib
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from ladder_core.timers import TimerService

SUSPICION_SECONDS = 600
REFUSAL_SECONDS = 86_400

_CAPACITY = 8192


class Standing(StrEnum):
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


class SuspectBoard(ABC):
    """Standings of requests by digest, shared by the nodes."""

    @abstractmethod
    def read(self, digest: str) -> Standing:
        """Return a request's standing as far as this node knows."""

    @abstractmethod
    def write(self, digest: str, standing: Standing) -> None:
        """
        Set a request's standing, here and at the other nodes.

        Parameters
        ----------
        digest : str
            The request.
        standing : Standing
            A refusal holds until it expires, whatever is written after it.

        """


StandingCallback = Callable[[str, Standing], None]


class MemorySuspectBoard(SuspectBoard):
    """
    Standings of one process, bounded and with an expiry.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    capacity : int, optional
        Number of standings kept; the oldest are dropped first.

    """

    def __init__(
        self,
        timers: TimerService,
        capacity: int = _CAPACITY,
    ) -> None:
        self._timers = timers
        self._capacity = capacity
        self._standings: OrderedDict[str, tuple[Standing, float]] = (
            OrderedDict()
        )

    def read(self, digest: str) -> Standing:
        """Return a request's standing."""
        standing, deadline = self._standings.get(digest, (Standing.clear, 0))
        return standing if self._timers.now() < deadline else Standing.clear

    def write(self, digest: str, standing: Standing) -> None:
        """Set a request's standing."""
        if self.read(digest) is Standing.refused:
            return
        if standing is Standing.clear:
            self._standings.pop(digest, None)
            return
        seconds = SUSPICION_SECONDS
        if standing is Standing.refused:
            seconds = REFUSAL_SECONDS
        self._standings[digest] = (standing, self._timers.now() + seconds)
        self._standings.move_to_end(digest)
        if len(self._standings) > self._capacity:
            self._standings.popitem(last=False)
