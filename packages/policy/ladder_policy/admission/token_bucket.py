"""A token bucket."""


class TokenBucket:
    """
    Allow a rate on average and a burst at once.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Largest number of tokens kept; the bucket begins full.
    now : float
        Seconds.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2, burst=1, now=0)
    >>> bucket.take(1, now=0), bucket.take(1, now=0.25)
    (True, False)
    >>> bucket.find_wait_seconds(1, now=0.25)
    0.25
    >>> bucket.take(1, now=0.5)
    True

    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def add(self, tokens: float) -> None:
        """Put tokens into the bucket, beside its rate."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def take(self, tokens: float, now: float) -> bool:
        """
        Take tokens out if there are enough.

        Parameters
        ----------
        tokens : float
            How many.
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether they were taken.

        """
        self._refill(now)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def find_wait_seconds(self, tokens: float, now: float) -> float:
        """
        Return the seconds until tokens can be taken.

        Parameters
        ----------
        tokens : float
            How many, at most the burst.
        now : float
            Seconds.

        """
        self._refill(now)
        missing = max(0, tokens - self._tokens)
        if not missing:
            return 0
        return missing / self._rate if self._rate else float('inf')

    def _refill(self, now: float) -> None:
        passed = max(0, now - self._refilled_at)
        self._tokens = min(self._burst, self._tokens + passed * self._rate)
        self._refilled_at = now
