"""
How long to wait for an answer, by how long the last ones took.

Calls that are given up still cost the service its time, so a limit that is
too short makes a slow service slower.

References
----------
RFC 6298, "Computing TCP's Retransmission Timer", section 2.

"""

_MIN_TIMEOUT_SECONDS = 0.7
# A call that fell silent just before the service came back holds up what
# follows it for this time.
_MAX_TIMEOUT_SECONDS = 2
_MEAN_MULTIPLE = 4
_SMOOTHING_FACTOR = 0.25
_BACKOFF_FACTOR = 1.6


class AdaptiveTimeout:
    """
    A timeout that follows the service's usual time.

    Examples
    --------
    >>> adaptive_timeout = AdaptiveTimeout()
    >>> adaptive_timeout.seconds
    0.7
    >>> adaptive_timeout.record_timeout()
    >>> adaptive_timeout.seconds
    1.12
    >>> adaptive_timeout.record_answer(0.01)
    >>> adaptive_timeout.seconds
    0.7

    """

    def __init__(self) -> None:
        self._mean_seconds: float = 0
        self._floor_seconds: float = _MIN_TIMEOUT_SECONDS

    @property
    def seconds(self) -> float:
        """The timeout of the next call."""
        wanted = max(self._floor_seconds, _MEAN_MULTIPLE * self._mean_seconds)
        return round(min(wanted, _MAX_TIMEOUT_SECONDS), 3)

    def record_answer(self, seconds: float) -> None:
        """Note how long an answer took."""
        self._mean_seconds += _SMOOTHING_FACTOR * (seconds - self._mean_seconds)
        self._floor_seconds = _MIN_TIMEOUT_SECONDS

    def record_timeout(self) -> None:
        """Note a call that was given up; the service may be slow."""
        self._floor_seconds = min(
            self.seconds * _BACKOFF_FACTOR, _MAX_TIMEOUT_SECONDS
        )
