"""Roll out to all replicas at once, the simple baseline."""

from collections.abc import Sequence

from ladder_policy.versions.base import Replica, RolloutPlanner, WeightSource


class AllAtOncePlanner(RolloutPlanner):
    """
    Choose every replica with an older version.

    Examples
    --------
    >>> replicas = [Replica('a', 1), Replica('b', 1), Replica('c', 2)]
    >>> chosen = AllAtOncePlanner().choose(replicas, WeightSource(2))
    >>> [replica.name for replica in chosen]
    ['a', 'b']

    """

    def _choose(
        self,
        behind: list[Replica],
        replicas: Sequence[Replica],
        source: WeightSource,
    ) -> list[Replica]:
        return behind
