"""
Tell a target that fails part of its requests from one that fails some.

References
----------
Envoy project documentation, "Outlier detection", success rate ejection.

"""

import math

_NEWEST_SHARE = 0.15
# A service may have requests that fail wherever they run; a target that
# fails this much more than those is an outlier.
_OUTLIER_RATE = 0.75
# Half of what was seen is forgotten in this time, so that a target that is
# left alone comes back by itself.
_HALF_LIFE_SECONDS = 5


class SuccessRate:
    """
    Share of the latest requests of a target that succeeded.

    Examples
    --------
    >>> rate = SuccessRate()
    >>> rate.note(False, now=0)
    >>> rate.is_outlier(now=0)
    False
    >>> for _ in range(2):
    ...     rate.note(False, now=0)
    >>> rate.is_outlier(now=0), rate.is_outlier(now=10)
    (True, False)

    """

    def __init__(self) -> None:
        self._failing: float = 0
        self._noted_at: float = 0

    def note(self, is_success: bool, now: float) -> None:
        """
        Note the outcome of a request.

        Parameters
        ----------
        is_success : bool
            Whether it succeeded.
        now : float
            Seconds.

        """
        failing = self._find_failing(now)
        self._failing = failing + _NEWEST_SHARE * (1 - is_success - failing)
        self._noted_at = now

    def is_outlier(self, now: float) -> bool:
        """Return whether the target fails more than others may."""
        return 1 - self._find_failing(now) < _OUTLIER_RATE

    def _find_failing(self, now: float) -> float:
        age = max(now - self._noted_at, 0)
        return self._failing * math.exp2(-age / _HALF_LIFE_SECONDS)
