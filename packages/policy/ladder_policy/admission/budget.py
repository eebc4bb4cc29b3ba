"""Keep retries from multiplying a fault."""

from ladder_policy.admission.bucket import TokenBucket

_SHARE = 0.2
_FLOOR_PER_SECOND = 2
_BURST_RETRIES = 20


class RetryBudget:
    """
    Allow retries as a share of the requests, above a small rate.

    Parameters
    ----------
    now : float
        Seconds.
    share : float, optional
        Retries earned by each request.
    floor : float, optional
        Retries a second that are allowed without any request.
    burst : float, optional
        Largest number of retries saved up.

    Examples
    --------
    >>> budget = RetryBudget(now=0, share=0.5, floor=0, burst=1)
    >>> budget.take_retry(now=0), budget.take_retry(now=0)
    (True, False)
    >>> budget.note_request(), budget.take_retry(now=0)
    (None, False)
    >>> budget.note_request(), budget.take_retry(now=0)
    (None, True)

    """

    def __init__(
        self,
        now: float,
        share: float = _SHARE,
        floor: float = _FLOOR_PER_SECOND,
        burst: float = _BURST_RETRIES,
    ) -> None:
        self._bucket = TokenBucket(floor, burst, now)
        self._share = share

    def note_request(self) -> None:
        """Earn a part of a retry by a request."""
        self._bucket.add(self._share)

    def take_retry(self, now: float) -> bool:
        """
        Use up a retry.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether the retry may be made.

        """
        return self._bucket.take(1, now)
