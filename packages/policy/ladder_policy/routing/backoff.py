"""
Keep requests from a target that fails again and again.

References
----------
Dean and Barroso, "The Tail at Scale", Communications of the ACM, 2013,
section "Latency-induced probation".

"""

# A single lost answer says little about a target; it gets no rest.
_TOLERATED_FAILURES = 1
_INITIAL_BACKOFF_SECONDS = 0.4
_MAX_BACKOFF_SECONDS = 3.2


class FailureBackoff:
    """
    Rest a target for longer with each failure in a row.

    Examples
    --------
    >>> backoff = FailureBackoff()
    >>> backoff.record_failure(now=0), backoff.allows(now=0)
    (None, True)
    >>> backoff.record_failure(now=0), backoff.allows(now=0), backoff.allows(now=0.5)
    (None, False, True)
    >>> backoff.record_failure(now=0.5), backoff.allows(now=1), backoff.allows(now=1.5)
    (None, False, True)
    >>> backoff.record_success()
    >>> backoff.is_healthy
    True

    """

    def __init__(self) -> None:
        self._failures = 0
        self._blocked_until: float = 0

    @property
    def is_healthy(self) -> bool:
        """Whether the last request succeeded."""
        return not self._failures

    def record_failure(self, now: float, is_unreachable: bool = False) -> None:
        """
        Note a failure.

        Parameters
        ----------
        now : float
            Seconds.
        is_down : bool, optional
            Whether the target could not be reached at all, which leaves no
            doubt.

        """
        if now < self._blocked_until:
            # Sent before the rest began; it says nothing new.
            return
        self._failures += 1
        tolerated = 0 if is_unreachable else _TOLERATED_FAILURES
        counted = self._failures - tolerated
        if counted > 0:
            backoff_seconds = _INITIAL_BACKOFF_SECONDS * 2 ** (counted - 1)
            self._blocked_until = now + min(
                backoff_seconds, _MAX_BACKOFF_SECONDS
            )

    def record_success(self) -> None:
        """Note a success, which ends the doubt."""
        self._failures = 0
        self._blocked_until = 0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return now >= self._blocked_until
