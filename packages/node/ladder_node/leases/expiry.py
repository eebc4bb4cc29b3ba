"""Measure on this node's clock how long other leases went unrenewed."""

from collections.abc import Hashable
from dataclasses import dataclass

from ladder_core.timers import TimerService


@dataclass(slots=True)
class _Observation:
    revisions: Hashable
    since: float
    latest_at: float


class ExpiryWatch:
    """
    Track for how long the rows of each lease have not changed.

    Parameters
    ----------
    timers : TimerService
        This node's clock. Times of other nodes are never compared with it,
        so that clocks need not be synchronised.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._observations: dict[str, _Observation] = {}

    def observe(self, name: str, revisions: Hashable) -> float:
        """
        Record the revisions that were just read.

        Parameters
        ----------
        name : str
            Name of the lease that was read.
        revisions : hashable
            Revisions of the lease's row and of its holder's heartbeat row; a
            change of either restarts the time.

        Returns
        -------
        float
            Seconds since these revisions were first observed.

        """
        now = self._timers.now()
        observation = self._observations.get(name)
        if observation is None or observation.revisions != revisions:
            observation = _Observation(revisions, now, now)
            self._observations[name] = observation
        observation.latest_at = now
        return now - observation.since

    def exclude_unobserved_time(self) -> None:
        """
        Exclude the time since the latest observation of each lease.

        It is called right before the first observation after an outage, during
        which no holder could change its rows. When the outage began and ended
        is not known; both lie between these two observations.
        """
        now = self._timers.now()
        for observation in self._observations.values():
            observation.since += now - observation.latest_at
            observation.latest_at = now

    def remove(self, name: str) -> None:
        """Discard the observation of a lease."""
        self._observations.pop(name, None)
