"""Token bucket that limits the rate of calls."""

from ladder_core.timers import TimerService


class TokenBucket:
    """
    Rate limit that allows bursts.

    Explanation
    -----------
    The number of tokens becomes negative while calls are reserved ahead.

    Parameters
    ----------
    timers : TimerService
        Clock by which the bucket is refilled.
    per_second : float
        Sustained rate, in calls per second.
    burst : float
        Capacity of the bucket: calls that can be made at once when it is full.

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
        """
        Change the sustained rate; reservations that were made stay.

        Parameters
        ----------
        per_second : float
            New rate, in calls per second.

        """
        self._fill()
        self._rate = per_second

    def estimate_wait_seconds(self) -> float:
        """Return the seconds that the next call would have to wait."""
        self._fill()
        return max(1 - self._tokens, 0) / self._rate

    def reserve(self) -> float:
        """
        Reserve one call by taking a token.

        Returns
        -------
        float
            Seconds for which the caller has to wait before the call.

        """
        delay = self.estimate_wait_seconds()
        self._tokens -= 1
        return delay

    def _fill(self) -> None:
        now = self._timers.now()
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._tokens + gained, self._burst)
        self._filled_at = now
