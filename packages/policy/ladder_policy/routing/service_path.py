"""
Judge whether a host has lost its own path to a service.

References
----------
Huang et al., "Gray Failure: The Achilles' Heel of Cloud-Scale Systems", HotOS
2017, on differential observability.

"""

# One replica that can't be reached may itself have failed.
_MIN_UNREACHABLE = 2
# Time after which an attempt without a connection is no evidence any more.
_EVIDENCE_SECONDS = 4
_MIN_COMPARISON_INTERVAL_SECONDS = 0.3
_MAX_COMPARISON_INTERVAL_SECONDS = 2.4


class ServicePath:
    """
    Evidence of one host on its path to the replicas of one service.

    Explanation
    -----------
    Connections that can't be made to several replicas are due either to the
    replicas or to the path of this host. A comparison with other hosts tells
    which: the path is lost only if another host reaches a replica that this
    one doesn't. A new connection of this host ends the loss.

    Examples
    --------
    >>> path = ServicePath()
    >>> path.record_unreachable('r1', now=1)
    >>> path.record_unreachable('r2', now=1.3)
    >>> path.needs_comparison(now=1.3, replicas=3)
    True
    >>> path.record_comparison(now=1.4, is_reached_elsewhere=True)
    >>> path.is_lost
    True
    >>> path.record_connected()
    >>> path.is_lost
    False

    """

    def __init__(self) -> None:
        self._unreachable: dict[str, float] = {}
        self._is_lost = False
        self._is_silent = False
        self._compare_at: float = 0
        self._interval_seconds = _MIN_COMPARISON_INTERVAL_SECONDS

    @property
    def is_lost(self) -> bool:
        """Whether other hosts reach the service and this one doesn't."""
        return self._is_lost

    @property
    def is_silent(self) -> bool:
        """Whether the latest attempt got no answer."""
        return self._is_silent

    @property
    def unreachable(self) -> tuple[str, ...]:
        """Names of replicas without a connection, the latest first."""
        return tuple(reversed(self._unreachable))

    def is_suspect(self, now: float, replicas: int) -> bool:
        """
        Return whether the path may be lost.

        Parameters
        ----------
        now : float
            Current time in seconds.
        replicas : int
            Number of listed replicas of the service.

        """
        recent = sum(
            now - failed_at <= _EVIDENCE_SECONDS
            for failed_at in self._unreachable.values()
        )
        return recent >= max(min(_MIN_UNREACHABLE, replicas), 1)

    def needs_comparison(self, now: float, replicas: int) -> bool:
        """Return whether other hosts should be asked what they reach."""
        return (
            not self._is_lost
            and now >= self._compare_at
            and self.is_suspect(now, replicas)
        )

    def record_unreachable(
        self, replica: str, now: float, *, is_silent: bool = False
    ) -> None:
        """
        Record that no connection to a replica could be made.

        Parameters
        ----------
        replica : str
            Name of the replica.
        now : float
            Current time in seconds.
        is_silent : bool, optional
            Whether there was no answer, rather than a refusal.

        """
        self._is_silent = is_silent
        self._unreachable.pop(replica, None)
        self._unreachable[replica] = now

    def record_connected(self) -> None:
        """Record that a connection to a replica was made."""
        self._unreachable.clear()
        self._is_lost = False
        self._is_silent = False
        self._interval_seconds = _MIN_COMPARISON_INTERVAL_SECONDS

    def record_comparison(
        self, now: float, *, is_reached_elsewhere: bool
    ) -> None:
        """
        Record whether another host reaches a replica that this one doesn't.

        While none does, the others are asked again after growing pauses.
        """
        if not self._unreachable:
            # A connection was made meanwhile.
            return
        self._is_lost = is_reached_elsewhere
        self._compare_at = now + self._interval_seconds
        self._interval_seconds = min(
            2 * self._interval_seconds, _MAX_COMPARISON_INTERVAL_SECONDS
        )
