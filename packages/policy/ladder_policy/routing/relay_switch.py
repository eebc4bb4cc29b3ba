"""Decide whether calls to a service are relayed through a peer node."""

_PROBE_INTERVAL_SECONDS = 1.5
_FAILURES_BEFORE_RELAY = 2


class RelaySwitch:
    """
    Relay calls through a peer while direct calls fail.

    Explanation
    -----------
    The path to a service can be cut, or its calls be refused, for one node
    alone. One unanswered call switches to the peers at once, a refusal only
    when it is repeated. While calls are relayed, one call per interval is sent
    directly as a probe, to find out whether the direct path works again.

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
    def is_relaying(self) -> bool:
        """Whether calls are relayed through peers."""
        return self._probe_at is not None

    def should_call_directly(self, now: float) -> bool:
        """Return whether the next call goes directly, be it as a probe."""
        if self._probe_at is None:
            return True
        if now < self._probe_at:
            return False
        self._probe_at = now + _PROBE_INTERVAL_SECONDS
        return True

    def record_failure(self, now: float, is_unanswered: bool) -> None:
        """
        Count a direct call that failed.

        Parameters
        ----------
        now : float
            Current time in seconds.
        is_unanswered : bool
            Whether no response came, which switches to relaying at once;
            otherwise the call was refused.

        """
        self._failures += 1
        if is_unanswered or self._failures >= _FAILURES_BEFORE_RELAY:
            self._probe_at = now + _PROBE_INTERVAL_SECONDS

    def record_success(self) -> None:
        """Return to direct calls after one was answered."""
        self._failures = 0
        self._probe_at = None
