"""
Keep requests from a target that fails again and again.

References
----------
Dean and Barroso, "The Tail at Scale", Communications of the ACM, 2013,
section "Latency-induced probation".

"""

# A single lost answer says little about a target; it gets no rest.
_FREE_FAILURES = 1
_FIRST_REST_SECONDS = 0.4
_MAX_REST_SECONDS = 3.2


class FailureBackoff:
    """
    Rest a target for longer with each failure in a row.

    Examples
    --------
    >>> backoff = FailureBackoff()
    >>> backoff.fail(now=0), backoff.allows(now=0)
    (None, True)
    >>> backoff.fail(now=0), backoff.allows(now=0), backoff.allows(now=0.5)
    (None, False, True)
    >>> backoff.fail(now=0.5), backoff.allows(now=1), backoff.allows(now=1.5)
    (None, False, True)
    >>> backoff.succeed()
    >>> backoff.is_sound
    True

    """

    def __init__(self) -> None:
        self._failures = 0
        self._rests_until: float = 0

    @property
    def is_sound(self) -> bool:
        """Whether the last request succeeded."""
        return not self._failures

    def fail(self, now: float, is_down: bool = False) -> None:
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
        if now < self._rests_until:
            # Sent before the rest began; it says nothing new.
            return
        self._failures += 1
        free = 0 if is_down else _FREE_FAILURES
        counted = self._failures - free
        if counted > 0:
            rest = _FIRST_REST_SECONDS * 2 ** (counted - 1)
            self._rests_until = now + min(rest, _MAX_REST_SECONDS)

    def succeed(self) -> None:
        """Note a success, which ends the doubt."""
        self._failures = 0
        self._rests_until = 0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return now >= self._rests_until
