"""Time the expiry of other holders' leases on this node's own clock."""

from collections.abc import Hashable
from dataclasses import dataclass

from ladder_core.timers import TimerService


@dataclass(frozen=True, slots=True)
class _Observation:
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
        self._observations: dict[str, _Observation] = {}

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
        observation = self._observations.get(name)
        if observation is None or observation.revisions != revisions:
            observation = _Observation(revisions, now)
            self._observations[name] = observation
        return now - observation.since

    def exclude(self, seconds: float) -> None:
        """Leave out a time in which the rows could not change."""
        self._observations = {
            name: _Observation(
                observation.revisions, observation.since + seconds
            )
            for name, observation in self._observations.items()
        }

    def remove(self, name: str) -> None:
        """Stop watching a lease."""
        self._observations.pop(name, None)
