"""
Time-out of a call, derived from the durations of earlier calls.

A call that is abandoned still uses capacity of the service, so a time-out
that is too short makes a slow service slower.

References
----------
RFC 6298, "Computing TCP's Retransmission Timer", section 2.

"""

_MIN_TIMEOUT_SECONDS = 0.7
# A call that gets no response just before the service recovers delays the calls
# that wait behind it by up to this time.
_MAX_TIMEOUT_SECONDS = 2
_MEAN_MULTIPLE = 4
_SMOOTHING_FACTOR = 0.25
_BACKOFF_FACTOR = 1.6


class AdaptiveTimeout:
    """
    A time-out that follows the mean duration of answered calls.

    Examples
    --------
    >>> adaptive_timeout = AdaptiveTimeout()
    >>> adaptive_timeout.seconds
    0.7
    >>> adaptive_timeout.record_timeout()
    >>> adaptive_timeout.seconds
    1.12
    >>> adaptive_timeout.record_response(0.01)
    >>> adaptive_timeout.seconds
    0.7

    """

    def __init__(self) -> None:
        self._mean_seconds: float = 0
        self._floor_seconds: float = _MIN_TIMEOUT_SECONDS

    @property
    def seconds(self) -> float:
        """Time-out of the next call."""
        timeout_seconds = max(
            self._floor_seconds, _MEAN_MULTIPLE * self._mean_seconds
        )
        return round(min(timeout_seconds, _MAX_TIMEOUT_SECONDS), 3)

    def record_response(self, seconds: float) -> None:
        """Update the mean by the duration of an answered call in seconds."""
        self._mean_seconds += _SMOOTHING_FACTOR * (seconds - self._mean_seconds)
        self._floor_seconds = _MIN_TIMEOUT_SECONDS

    def record_timeout(self) -> None:
        """Raise the time-out after a call without a response."""
        self._floor_seconds = min(
            self.seconds * _BACKOFF_FACTOR, _MAX_TIMEOUT_SECONDS
        )
