"""Pause after refused orders of replicas."""

# The platform has no replicas in a data centre for 6 to 11 s after it took
# those there back.
_FIRST_PAUSE_SECONDS = 3
_MAX_PAUSE_SECONDS = 24


class OrderBackoff:
    """
    Pause between orders of one kind of replicas in one data centre.

    Examples
    --------
    >>> backoff = OrderBackoff()
    >>> backoff.record_refusal(now=10)
    >>> backoff.is_blocked(now=12), backoff.is_blocked(now=13)
    (True, False)
    >>> backoff.record_refusal(now=13)
    >>> backoff.is_blocked(now=18)
    True
    >>> backoff.record_success()
    >>> backoff.is_blocked(now=18)
    False

    """

    def __init__(self) -> None:
        self._pause_seconds: float = _FIRST_PAUSE_SECONDS
        self._blocked_until: float | None = None

    def is_blocked(self, now: float) -> bool:
        """Return whether no order should be sent now."""
        return self._blocked_until is not None and now < self._blocked_until

    def record_refusal(self, now: float) -> None:
        """Record that no replicas were to be had."""
        self._blocked_until = now + self._pause_seconds
        self._pause_seconds = min(2 * self._pause_seconds, _MAX_PAUSE_SECONDS)

    def record_success(self) -> None:
        """Record that an order was accepted."""
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        self._blocked_until = None
