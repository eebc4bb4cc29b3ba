"""
Send no requests for a while to a target that fails repeatedly.

References
----------
Dean and Barroso, "The Tail at Scale", Communications of the ACM, 2013,
section "Latency-induced probation".

"""

# One lost response is no evidence of a failing target, so the first failure in
# a row does not block it.
_TOLERATED_FAILURES = 1
_INITIAL_BACKOFF_SECONDS = 0.4
_MAX_BACKOFF_SECONDS = 3.2


class FailureBackoff:
    """
    Block a target for a time that doubles with each failure in a row.

    Examples
    --------
    >>> backoff = FailureBackoff()
    >>> backoff.record_failure(now=0)
    >>> backoff.allows(now=0)
    True
    >>> backoff.record_failure(now=0)
    >>> backoff.allows(now=0), backoff.allows(now=0.5)
    (False, True)
    >>> backoff.record_failure(now=0.5)
    >>> backoff.allows(now=1), backoff.allows(now=1.5)
    (False, True)
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
        Count a failed request.

        Parameters
        ----------
        now : float
            Current time in seconds.
        is_unreachable : bool, optional
            Whether no connection to the target could be made. Such a failure
            blocks the target even if it is the first in a row.

        """
        if now < self._blocked_until:
            # The request was sent before the target was blocked, so its
            # failure is not counted again.
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
        """Reset the count of failures after a success."""
        self._failures = 0
        self._blocked_until = 0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent at a time in seconds."""
        return now >= self._blocked_until
