"""When calls to a service go through a peer instead of directly."""

_DETOUR_SECONDS = 1.5
_SOFT_FAILURES = 2


class DetourSwitch:
    """
    Send calls through a peer while the direct way fails.

    Explanation
    -----------
    A way can be cut, or refused, for one node alone. A call without an answer
    turns to the peers at once, refusals do so when they repeat. From time to
    time one call looks whether the direct way works again.

    Examples
    --------
    >>> switch = DetourSwitch()
    >>> switch.goes_direct(now=0)
    True
    >>> switch.fail(now=0, is_hard=True)
    >>> switch.goes_direct(now=1), switch.goes_direct(now=2)
    (False, True)
    >>> switch.goes_direct(now=2)
    False
    >>> switch.succeed()
    >>> switch.goes_direct(now=2)
    True

    """

    def __init__(self) -> None:
        self._failures = 0
        self._probe_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether calls go through peers."""
        return self._probe_at is not None

    def goes_direct(self, now: float) -> bool:
        """Return whether the next call goes directly; it may be the look."""
        if self._probe_at is None:
            return True
        if now < self._probe_at:
            return False
        self._probe_at = now + _DETOUR_SECONDS
        return True

    def fail(self, now: float, is_hard: bool) -> None:
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
        if is_hard or self._failures >= _SOFT_FAILURES:
            self._probe_at = now + _DETOUR_SECONDS

    def succeed(self) -> None:
        """Note a direct call that was answered."""
        self._failures = 0
        self._probe_at = None
