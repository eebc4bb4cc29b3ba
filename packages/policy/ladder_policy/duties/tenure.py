"""Decide whether a host holds or takes a duty, by its path to the targets."""

# Time for which a path is lost before the duty is handed over. Meanwhile
# requests go through hosts that have one.
_PATIENCE_SECONDS = 0.3
# Time for which a path is back before the host takes the duty again.
_STEADY_SECONDS = 3


class DutyTenure:
    """
    Tenure of a duty on one host.

    Explanation
    -----------
    A holder without a path hands the duty over if another host has one. A path
    that comes and goes makes no host take the duty, so that it doesn't wander.
    If no host has a path, the duty stays where it is.

    Examples
    --------
    >>> tenure = DutyTenure()
    >>> tenure.observe(now=10, is_path_lost=True, has_fit_peer=True)
    >>> tenure.should_hold(now=10.2), tenure.should_hold(now=10.5)
    (True, False)
    >>> tenure.observe(now=12, is_path_lost=False, has_fit_peer=True)
    >>> tenure.should_take(now=13), tenure.should_take(now=16)
    (False, True)

    """

    def __init__(self) -> None:
        self._lost_at: float | None = None
        self._regained_at: float | None = None
        self._has_fit_peer = False

    def observe(
        self, now: float, *, is_path_lost: bool, has_fit_peer: bool
    ) -> None:
        """
        Update what the decisions depend on.

        Parameters
        ----------
        now : float
            Current time in seconds.
        is_path_lost : bool
            Whether other hosts reach the targets of the duty and this one
            doesn't.
        has_fit_peer : bool
            Whether another live host has not lost its path.

        """
        self._has_fit_peer = has_fit_peer
        if not is_path_lost:
            if self._lost_at is not None:
                self._regained_at = now
            self._lost_at = None
        elif self._lost_at is None:
            self._lost_at = now

    def should_hold(self, now: float) -> bool:
        """Return whether a host that holds the duty should keep it."""
        if self._lost_at is None or not self._has_fit_peer:
            return True
        return now - self._lost_at < _PATIENCE_SECONDS

    def should_take(self, now: float) -> bool:
        """Return whether the host should try to take the duty."""
        if not self._has_fit_peer:
            return True
        if self._lost_at is not None:
            return False
        if self._regained_at is None:
            return True
        return now - self._regained_at >= _STEADY_SECONDS
