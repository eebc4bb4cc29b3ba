"""
Number of requests that a node may have at a service that lacks room.

References
----------
Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
avoidance in computer networks", Computer Networks and ISDN Systems, 1989.

"""

import math

# Several replicas refuse at the same moment when a service becomes full; that
# is one signal.
_MIN_DECREASE_INTERVAL_SECONDS = 0.1
_DECREASE_FACTOR = 0.8
_MIN_LIMIT = 1
# Without a refusal for this time there is room again. Replicas that were full
# are asked again within it, even if each request takes a second.
_CALM_SECONDS = 2


class ContentionLimit:
    """
    Limit the requests of a node at a service after refusals of its replicas.

    Explanation
    -----------
    Nodes do not know how many requests the others send. Each one limits its own
    by additive increase and multiplicative decrease, which converges to equal
    limits of nodes that send to the same replicas. While no replica refuses a
    request there is no limit, so that none is met in calm.

    Examples
    --------
    >>> limit = ContentionLimit()
    >>> limit.find(now=0)
    inf
    >>> limit.record_full(in_flight=10, now=0)
    >>> limit.find(now=0)
    8.0
    >>> limit.find(now=3)
    inf

    """

    def __init__(self) -> None:
        self._limit = math.inf
        self._full_at = -math.inf
        self._decreased_at = -math.inf

    def find(self, now: float) -> float:
        """Return the largest number of requests; infinite without refusals."""
        if now - self._full_at > _CALM_SECONDS:
            self._limit = math.inf
        return self._limit

    def record_full(self, in_flight: int, now: float) -> None:
        """
        Record that a replica refused a request because it is full.

        Parameters
        ----------
        in_flight : int
            Requests of this node at the service, the refused one included.
        now : float
            Present time in seconds.

        """
        current = min(self.find(now), max(in_flight, _MIN_LIMIT))
        self._full_at = now
        if now - self._decreased_at < _MIN_DECREASE_INTERVAL_SECONDS:
            self._limit = min(self._limit, current)
            return
        self._decreased_at = now
        self._limit = max(current * _DECREASE_FACTOR, _MIN_LIMIT)

    def record_success(self) -> None:
        """Record that a replica has served a request."""
        self._limit += 1 / self._limit
