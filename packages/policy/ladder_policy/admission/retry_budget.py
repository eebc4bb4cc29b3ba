"""Limit retries, so that they don't multiply the load during a fault."""

from ladder_policy.admission.token_bucket import TokenBucket

_RETRIES_PER_REQUEST = 0.2
_MIN_RETRIES_PER_SECOND = 2
_MAX_SAVED_RETRIES = 20


class RetryBudget:
    """
    Allow retries in proportion to requests, and a small rate besides.

    Parameters
    ----------
    now : float
        Current time in seconds.
    retries_per_request : float, optional
        Retries that each request adds to the budget.
    min_per_second : float, optional
        Retries per second that are added without any request.
    burst : float, optional
        Largest number of retries that the budget holds.

    Examples
    --------
    >>> budget = RetryBudget(
    ...     now=0, retries_per_request=0.5, min_per_second=0, burst=1
    ... )
    >>> budget.take_retry(now=0), budget.take_retry(now=0)
    (True, False)
    >>> budget.record_request(), budget.take_retry(now=0)
    (None, False)
    >>> budget.record_request(), budget.take_retry(now=0)
    (None, True)

    """

    def __init__(
        self,
        now: float,
        retries_per_request: float = _RETRIES_PER_REQUEST,
        min_per_second: float = _MIN_RETRIES_PER_SECOND,
        burst: float = _MAX_SAVED_RETRIES,
    ) -> None:
        self._bucket = TokenBucket(min_per_second, burst, now)
        self._retries_per_request = retries_per_request

    def record_request(self) -> None:
        """Add the share of a retry that a request earns."""
        self._bucket.add(self._retries_per_request)

    def take_retry(self, now: float) -> bool:
        """
        Take one retry out of the budget.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the retry may be made.

        """
        return self._bucket.take(1, now)
