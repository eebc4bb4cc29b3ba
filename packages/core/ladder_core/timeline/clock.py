"""
A hybrid logical clock.

References
----------
Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.

"""

import msgspec

from ladder_core.timers import TimerService


class HybridTime(msgspec.Struct, frozen=True, order=True, array_like=True):
    """
    Timestamp of a hybrid logical clock.

    The timestamps of an event and of the events that it causes increase, even
    if the wall clocks of the processes differ.

    Attributes
    ----------
    milliseconds : int
        Latest wall time seen, in milliseconds since the Unix epoch.
    counter : int
        Orders the timestamps of one millisecond.

    """

    milliseconds: int = 0
    counter: int = 0


class HybridClock:
    """
    Hybrid logical clock of one process.

    Parameters
    ----------
    timers : TimerService
        Source of the wall time.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._latest = HybridTime()

    def tick(self) -> HybridTime:
        """Return a timestamp later than all that were returned or observed."""
        return self._advance(self._latest)

    def observe(self, remote: HybridTime) -> None:
        """
        Advance the clock to a timestamp received from another process.

        Parameters
        ----------
        remote : HybridTime
            Timestamp of the sender; later timestamps of this clock are greater.

        """
        self._latest = max(self._latest, remote)

    def _advance(self, floor: HybridTime) -> HybridTime:
        wall = self._timers.wall_milliseconds()
        if wall > floor.milliseconds:
            self._latest = HybridTime(wall, 0)
        else:
            self._latest = HybridTime(floor.milliseconds, floor.counter + 1)
        return self._latest
