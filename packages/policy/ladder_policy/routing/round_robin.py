"""Round robin, the simple baseline."""

import itertools
from collections.abc import Sequence

from ladder_policy.routing.base import Candidate, TargetChooser


class RoundRobinChooser(TargetChooser):
    """
    Choose the targets in turn, regardless of their load.

    Examples
    --------
    >>> chooser = RoundRobinChooser()
    >>> pair = [Candidate('a'), Candidate('b')]
    >>> [chooser.choose('', pair).name for _ in range(3)]
    ['a', 'b', 'a']

    """

    def __init__(self) -> None:
        self._next_index = itertools.count()

    def _choose(
        self,
        prompt: str,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        return candidates[next(self._next_index) % len(candidates)]
