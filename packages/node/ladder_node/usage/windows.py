"""The windows of time in which usage is counted."""

import math
import statistics
from collections import deque

from ladder_core.timers import TimerService

_MILLISECONDS_PER_SECOND = 1000
_SAMPLE_INTERVAL_SECONDS = 1
# A step of the wall clock that is taken back within half of this time has no
# effect; a step that lasts is followed after that.
_SAMPLE_AGE_SECONDS = 60


class WindowClock:
    """
    Find the window of the present moment.

    Explanation
    -----------
    The time is that of the monotonic clock plus the median offset of the wall
    clock over the latest minute. A wall clock that steps for a few seconds
    therefore moves no request to another window.

    Parameters
    ----------
    timers : TimerService
        Monotonic clock and wall clock of this host.
    window_seconds : float
        Length of a window. Window k begins k times this length after the
        start of 1970.

    Examples
    --------
    >>> from ladder_core.timers import ManualTimerService
    >>> clock = WindowClock(ManualTimerService(start=23), 5)
    >>> clock.find_window(), clock.find_end(4)
    (4, 25)

    """

    def __init__(self, timers: TimerService, window_seconds: float) -> None:
        self._timers = timers
        self._window_seconds = window_seconds
        self._samples: deque[tuple[float, float]] = deque()
        self._offset: float = 0
        self._sampled_at = -math.inf

    @property
    def window_seconds(self) -> float:
        """Length of a window in seconds."""
        return self._window_seconds

    def now(self) -> float:
        """Return the seconds since the start of 1970."""
        moment = self._timers.now()
        if moment - self._sampled_at >= _SAMPLE_INTERVAL_SECONDS:
            wall = self._timers.wall_milliseconds() / _MILLISECONDS_PER_SECOND
            self._samples.append((moment, wall - moment))
            while self._samples[0][0] < moment - _SAMPLE_AGE_SECONDS:
                self._samples.popleft()
            self._offset = statistics.median_low(
                offset for _, offset in self._samples
            )
            self._sampled_at = moment
        return moment + self._offset

    def find_offset(self, service_milliseconds: int | None) -> int | None:
        """
        Return how far this clock is ahead of the store's clock.

        Parameters
        ----------
        service_milliseconds : int or None
            Present time of the store's steady clock; None if not known.

        Returns
        -------
        int or None
            Milliseconds; None if not known.

        """
        if service_milliseconds is None:
            return None
        return int(self.now() * _MILLISECONDS_PER_SECOND) - service_milliseconds

    def find_window(self, seconds_ago: float = 0) -> int:
        """Return the number of the window that was current some time ago."""
        return math.floor((self.now() - seconds_ago) / self._window_seconds)

    def find_end(self, window: int) -> float:
        """Return the end of a window in seconds since the start of 1970."""
        return (window + 1) * self._window_seconds
