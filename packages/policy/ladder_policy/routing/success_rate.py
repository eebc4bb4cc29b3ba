"""
Tell a target that fails part of its requests from one that fails some.

References
----------
Envoy project documentation, "Outlier detection", success rate ejection.

"""

import math

_SMOOTHING_FACTOR = 0.15
# A service may have requests that fail wherever they run; a target that
# fails this much more than those is an outlier.
_MIN_SUCCESS_RATE = 0.75
# Half of what was seen is forgotten in this time, so that a target that is
# left alone comes back by itself.
_HALF_LIFE_SECONDS = 5


class SuccessRate:
    """
    Share of the latest requests of a target that succeeded.

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
        Note the outcome of a request.

        Parameters
        ----------
        is_success : bool
            Whether it succeeded.
        now : float
            Seconds.

        """
        failure_rate = self._compute_failure_rate(now)
        self._failure_rate = failure_rate + _SMOOTHING_FACTOR * (
            1 - is_success - failure_rate
        )
        self._recorded_at = now

    def is_outlier(self, now: float) -> bool:
        """Return whether the target fails more than others may."""
        return 1 - self._compute_failure_rate(now) < _MIN_SUCCESS_RATE

    def _compute_failure_rate(self, now: float) -> float:
        age = max(now - self._recorded_at, 0)
        return self._failure_rate * math.exp2(-age / _HALF_LIFE_SECONDS)
