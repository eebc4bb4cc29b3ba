"""
Number of requests up to which the throughput of a server still rises.

References
----------
Gunther, "Guerrilla Capacity Planning", 2007, chapter 4 (scalability curve).

"""

import math

# Shorter times are rounding errors of the clock.
_MIN_SECONDS = 1e-9
# Weight of one comparison of two concurrencies: that of an arithmetic mean
# that starts with some comparisons without any growth, and then a constant.
_PRIOR_COMPARISONS = 10
_MIN_RATE = 0.04
# Largest error of one comparison that counts, so that a slow-down that begins
# or ends between two measurements weighs little.
_MAX_ERROR = 0.7
# Two measurements further apart may differ because the speed has changed.
_MAX_PAUSE_SECONDS = 1
_LEVEL_SMOOTHING = 0.5
# A further request is worth its slot if the throughput grows by at least this
# share of what it would without any delay of the others.
_MIN_GAIN_SHARE = 0.25
# The limit falls by at least a sixth, since smaller differences are chance.
_MIN_REDUCTION = 1.2
# While the limit is below the slots, one more request is allowed for a second
# in each ten, to measure whether throughput has come to rise further.
_PROBE_PERIOD_SECONDS = 10
_PROBE_SECONDS = 1


class ConcurrencyCurve:
    """
    Growth of the time of a unit of work with the concurrency.

    Explanation
    -----------
    The time is compared shortly before and after a request ends, so that a
    slow-down of the whole server is not taken for an effect of its load. A
    request that begins is not used, as its prompt delays the others once.

    Parameters
    ----------
    settle_seconds : float, optional
        Time after the begin of a request in which nothing is compared.

    Examples
    --------
    >>> curve = ConcurrencyCurve()
    >>> for moment in range(200):
    ...     running = (6, 3)[moment % 2]
    ...     curve.observe(running, max(running, 3) / 100, moment / 10)
    >>> curve.find_limit(6, now=5)
    3

    """

    def __init__(self, settle_seconds: float = 0) -> None:
        self._settle_seconds = settle_seconds
        # Growth of the logarithm of the time with each further request.
        self._steps: list[float] = [0, 0]
        self._counts: list[int] = [0, 0]
        self._concurrency = 0
        self._level: float = 0
        self._measured_at = -math.inf
        self._risen_at = -math.inf
        self._limits: dict[int, int] = {}

    def observe(self, concurrency: int, seconds: float, now: float) -> None:
        """Add the time of a unit of work at a concurrency."""
        level = math.log(max(seconds, _MIN_SECONDS))
        before = self._concurrency
        if concurrency == before:
            self._level += _LEVEL_SMOOTHING * (level - self._level)
        else:
            is_settled = now - self._risen_at > self._settle_seconds
            is_recent = now - self._measured_at <= _MAX_PAUSE_SECONDS
            if 0 < concurrency < before and is_settled and is_recent:
                self._learn(concurrency, before, self._level - level)
            if concurrency > before:
                self._risen_at = now
            self._concurrency = concurrency
            self._level = level
        self._measured_at = now

    def find_growth(self, concurrency: int) -> float:
        """Return the factor by which the time exceeds that of one request."""
        return math.exp(sum(self._steps[: concurrency + 1]))

    def find_limit(self, slots: int, now: float) -> int:
        """Return the limit, or one more while a higher one is probed."""
        limit = self.compute_limit(slots)
        is_probing = now % _PROBE_PERIOD_SECONDS < _PROBE_SECONDS
        return min(limit + is_probing, slots)

    def compute_limit(self, slots: int) -> int:
        """Return the limit without a probe."""
        limit = self._limits.get(slots)
        if limit is None:
            limit = self._find_best(slots)
            self._limits[slots] = limit
        return limit

    def _learn(self, low: int, high: int, difference: float) -> None:
        for _ in range(len(self._steps), high + 1):
            self._steps.append(0)
            self._counts.append(0)
        known = sum(self._steps[low + 1 : high + 1])
        error = min(max(difference - known, -_MAX_ERROR), _MAX_ERROR)
        for number in range(low + 1, high + 1):
            self._counts[number] += 1
            rate = max(
                1 / (self._counts[number] + _PRIOR_COMPARISONS), _MIN_RATE
            )
            # The rise is taken to be even on a logarithmic scale.
            ideal = math.log(number / (number - 1)) if number > 1 else 1
            share = ideal / math.log(high / low)
            self._steps[number] = max(
                self._steps[number] + rate * share * error, 0
            )
        self._limits.clear()

    def _find_best(self, slots: int) -> int:
        best, limit = -math.inf, slots
        growth: float = 0
        for number in range(1, slots + 1):
            if number < len(self._steps):
                growth += self._steps[number]
            worth = (1 - _MIN_GAIN_SHARE) * math.log(number) - growth
            if worth > best:
                best, limit = worth, number
        return limit if limit * _MIN_REDUCTION <= slots else slots
