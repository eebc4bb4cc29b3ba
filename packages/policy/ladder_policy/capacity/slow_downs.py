"""Durations of temporary slow-downs, learned from those that have ended."""

import math
from operator import itemgetter

_SHORTEST_SECONDS = 0.1
# Durations are counted in classes that double: 0.1 to 0.2 s up to 25.6 s.
_CLASSES = 9
# Weight that older slow-downs keep with each new one; about 50 count.
_DECAY = 0.98
# Before any slow-down has ended, 60 % of those that have lasted for some time
# are expected to last for twice that time.
_PRIOR_DECAY = 0.6
# Typical duration within a class, as a multiple of its lower bound.
_PRIOR_POSITION = 1.4


# The longest duration of a class may be exceeded by this factor.
_LONGEST_MARGIN = 1.1
# Weight, mean and longest duration of a class.
_Duration = tuple[float, float, float]


class SlowDownDurations:
    """
    Predict how long a slow-down lasts that has lasted for some time.

    Explanation
    -----------
    Servers have short slow-downs, which are over before a text has moved, and
    long ones. Which of both a slow-down is shows only with time. The
    prediction is the mean remaining time of the earlier slow-downs of all
    servers that lasted at least as long.

    Examples
    --------
    >>> durations = SlowDownDurations()
    >>> for _ in range(40):
    ...     durations.add(0.6)
    >>> durations.predict_remaining(0.3) < 0.6
    True
    >>> durations.predict_remaining(1) > 2
    True

    """

    def __init__(self) -> None:
        lower = [_SHORTEST_SECONDS * 2**index for index in range(_CLASSES)]
        self._prior: list[_Duration] = [
            (_PRIOR_DECAY**index, _PRIOR_POSITION * bound, 2 * bound)
            for index, bound in enumerate(lower)
        ]
        self._weights: list[float] = [0 for _ in lower]
        self._means: list[float] = [0 for _ in lower]
        self._longest: list[float] = [0 for _ in lower]

    def add(self, seconds: float) -> None:
        """Add the duration of a slow-down that has ended."""
        doublings = math.log2(max(seconds / _SHORTEST_SECONDS, 1))
        index = min(int(doublings), _CLASSES - 1)
        self._weights = [weight * _DECAY for weight in self._weights]
        self._weights[index] += 1
        self._means[index] += (seconds - self._means[index]) / self._weights[
            index
        ]
        longest = max(seconds * _LONGEST_MARGIN, self._longest[index] * _DECAY)
        self._longest[index] = longest

    def predict_remaining(self, elapsed: float) -> float:
        """Return the mean rest of a slow-down that has lasted so long."""
        longer = self._list_longer(elapsed)
        total: float = sum(weight for weight, _ in longer)
        if not total:
            return elapsed
        return sum(weight * rest for weight, rest in longer) / total

    def predict_likely(self, elapsed: float) -> float:
        """Return the rest that half of such slow-downs exceed."""
        longer = sorted(self._list_longer(elapsed), key=itemgetter(1))
        half: float = sum(weight for weight, _ in longer) / 2
        for weight, rest in longer:
            half -= weight
            if half <= 0:
                return rest
        return elapsed

    def _list_longer(self, elapsed: float) -> list[tuple[float, float]]:
        """Return weights and rests of the durations that are longer."""
        learned = zip(self._weights, self._means, self._longest, strict=True)
        # The durations within a class differ: one that has passed its mean may
        # still be over within the class.
        return [
            (weight, max(seconds, (elapsed + longest) / 2) - elapsed)
            for weight, seconds, longest in (*learned, *self._prior)
            if weight and longest > elapsed
        ]
