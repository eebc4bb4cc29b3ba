"""Time the expiry of other holders' leases on this node's own clock."""

from collections.abc import Hashable
from dataclasses import dataclass

from ladder_core.timers import TimerService


@dataclass(frozen=True, slots=True)
class _Sight:
    revisions: Hashable
    since: float


class ExpiryWatch:
    """
    Tell for how long the rows of a lease have not changed.

    Parameters
    ----------
    timers : TimerService
        This node's clock; no other clock is compared with it.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._sights: dict[str, _Sight] = {}

    def observe(self, name: str, revisions: Hashable) -> float:
        """
        Take note of what was just read.

        Parameters
        ----------
        name : str
            Name of the lease.
        revisions : hashable
            Revisions of the lease's row and of its holder's heartbeat.

        Returns
        -------
        float
            Seconds since these revisions were first seen.

        """
        now = self._timers.now()
        sight = self._sights.get(name)
        if sight is None or sight.revisions != revisions:
            sight = _Sight(revisions, now)
            self._sights[name] = sight
        return now - sight.since

    def postpone(self, seconds: float) -> None:
        """Leave out a time in which the rows could not change."""
        self._sights = {
            name: _Sight(sight.revisions, sight.since + seconds)
            for name, sight in self._sights.items()
        }

    def forget(self, name: str) -> None:
        """Stop watching a lease."""
        self._sights.pop(name, None)
