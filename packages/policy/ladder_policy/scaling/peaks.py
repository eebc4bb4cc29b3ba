"""Largest value within a sliding window."""

from collections import deque


class SlidingPeak:
    """
    Keep the largest of the recent values.

    Parameters
    ----------
    window_seconds : float
        Time for which a value counts.

    Examples
    --------
    >>> peak = SlidingPeak(60)
    >>> peak.add(7, now=0)
    7
    >>> peak.add(3, now=50), peak.covers_window(now=50)
    (7, False)
    >>> peak.add(2, now=70), peak.covers_window(now=70)
    (3, True)

    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._began_at: float | None = None
        # Falling values, each larger than all that were added after it.
        self._entries: deque[tuple[float, int]] = deque()

    def add(self, value: int, now: float) -> int:
        """Add a value; return the largest one of the window."""
        if self._began_at is None:
            self._began_at = now
        while self._entries and self._entries[-1][1] <= value:
            self._entries.pop()
        self._entries.append((now, value))
        while now - self._entries[0][0] > self._window_seconds:
            self._entries.popleft()
        return self._entries[0][1]

    def covers_window(self, now: float) -> bool:
        """Return whether values have been added for a whole window."""
        if self._began_at is None:
            return False
        return now - self._began_at >= self._window_seconds
