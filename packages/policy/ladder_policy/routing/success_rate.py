"""
Detect targets that fail an unusually large part of their requests.

References
----------
Envoy project documentation, "Outlier detection", success rate ejection.

"""

import math

_SMOOTHING_FACTOR = 0.15
# A service may have requests that fail on every target. A target whose success
# rate is below this fails more often than those explain, and is an outlier.
_MIN_SUCCESS_RATE = 0.75
# The failure rate decays with this half-life, so that a target which gets no
# requests is used again without any further event.
_HALF_LIFE_SECONDS = 5


class SuccessRate:
    """
    Exponentially weighted success rate of a target.

    Examples
    --------
    >>> rate = SuccessRate()
    >>> rate.record_outcome(False, now=0)
    >>> rate.is_outlier(now=0)
    False
    >>> for _ in range(2):
    ...     rate.record_outcome(False, now=0)
    >>> rate.is_outlier(now=0), rate.is_outlier(now=10)
    (True, False)

    """

    def __init__(self) -> None:
        self._failure_rate: float = 0
        self._recorded_at: float = 0

    def record_outcome(self, is_success: bool, now: float) -> None:
        """
        Update the rate by the outcome of a request.

        Parameters
        ----------
        is_success : bool
            Whether the request succeeded.
        now : float
            Current time in seconds, from which on the rate decays.

        """
        failure_rate = self._compute_failure_rate(now)
        self._failure_rate = failure_rate + _SMOOTHING_FACTOR * (
            1 - is_success - failure_rate
        )
        self._recorded_at = now

    def is_outlier(self, now: float) -> bool:
        """Return whether the success rate is too low at a time in seconds."""
        return 1 - self._compute_failure_rate(now) < _MIN_SUCCESS_RATE

    def _compute_failure_rate(self, now: float) -> float:
        age = max(now - self._recorded_at, 0)
        return self._failure_rate * math.exp2(-age / _HALF_LIFE_SECONDS)
