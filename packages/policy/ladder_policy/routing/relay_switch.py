"""When calls to a service go through a peer instead of directly."""

_PROBE_INTERVAL_SECONDS = 1.5
_MAX_REFUSALS = 2


class RelaySwitch:
    """
    Send calls through a peer while the direct way fails.

    Explanation
    -----------
    A way can be cut, or refused, for one node alone. A call without an answer
    turns to the peers at once, refusals do so when they repeat. From time to
    time one call looks whether the direct way works again.

    Examples
    --------
    >>> switch = RelaySwitch()
    >>> switch.should_call_directly(now=0)
    True
    >>> switch.record_failure(now=0, is_unanswered=True)
    >>> switch.should_call_directly(now=1), switch.should_call_directly(now=2)
    (False, True)
    >>> switch.should_call_directly(now=2)
    False
    >>> switch.record_success()
    >>> switch.should_call_directly(now=2)
    True

    """

    def __init__(self) -> None:
        self._failures = 0
        self._probe_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether calls go through peers."""
        return self._probe_at is not None

    def should_call_directly(self, now: float) -> bool:
        """Return whether the next call goes directly; it may be the look."""
        if self._probe_at is None:
            return True
        if now < self._probe_at:
            return False
        self._probe_at = now + _PROBE_INTERVAL_SECONDS
        return True

    def record_failure(self, now: float, is_unanswered: bool) -> None:
        """
        Note a direct call that failed.

        Parameters
        ----------
        now : float
            Seconds.
        is_hard : bool
            Whether there was no answer, rather than a refusal.

        """
        self._failures += 1
        if is_unanswered or self._failures >= _MAX_REFUSALS:
            self._probe_at = now + _PROBE_INTERVAL_SECONDS

    def record_success(self) -> None:
        """Note a direct call that was answered."""
        self._failures = 0
        self._probe_at = None
