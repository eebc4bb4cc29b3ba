"""Keep a node within its share of a service's calls."""

from ladder_core.timers import TimerService


class TokenBucket:
    """
    A rate limit with a burst.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    per_second : float
        Sustained rate.
    burst : float
        Calls that may be made at once after a pause.

    """

    def __init__(
        self,
        timers: TimerService,
        per_second: float,
        burst: float,
    ) -> None:
        self._timers = timers
        self._rate = per_second
        self._burst = burst
        self._tokens = burst
        self._filled_at = timers.now()

    def change_rate(self, per_second: float) -> None:
        """Change the sustained rate; reservations stay."""
        self._fill()
        self._rate = per_second

    def estimate_wait(self) -> float:
        """Return the seconds that the next call would have to wait."""
        self._fill()
        return max(1 - self._tokens, 0) / self._rate

    def reserve(self) -> float:
        """
        Take the right to one call.

        Returns
        -------
        float
            Seconds to wait before the call.

        """
        delay = self.estimate_wait()
        self._tokens -= 1
        return delay

    def _fill(self) -> None:
        now = self._timers.now()
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._tokens + gained, self._burst)
        self._filled_at = now
