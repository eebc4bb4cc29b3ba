"""Rate limiting with a token bucket."""


class TokenBucket:
    """
    Limit the average rate of events and allow bursts.

    Parameters
    ----------
    rate : float
        Tokens added per second.
    burst : float
        Largest number of tokens that the bucket holds; it starts full.
    now : float
        Current time in seconds, on the clock that all later calls use.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2, burst=1, now=0)
    >>> bucket.take(1, now=0), bucket.take(1, now=0.25)
    (True, False)
    >>> bucket.estimate_wait_seconds(1, now=0.25)
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
        """Add tokens to those that the rate adds, up to the burst."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def take(self, tokens: float, now: float) -> bool:
        """
        Take tokens out of the bucket if it holds enough of them.

        Parameters
        ----------
        tokens : float
            Number of tokens to take; none is taken if fewer are there.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the tokens were taken.

        """
        self._refill(now)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def estimate_wait_seconds(self, tokens: float, now: float) -> float:
        """
        Return the seconds until the bucket holds enough tokens.

        Parameters
        ----------
        tokens : float
            Number of tokens to take, at most the burst.
        now : float
            Current time in seconds.

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
