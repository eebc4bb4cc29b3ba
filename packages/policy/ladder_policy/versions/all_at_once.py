"""All replicas at once: the plain way."""

from collections.abc import Sequence

from ladder_policy.versions.base import Replica, RolloutPlanner, WeightSource


class AllAtOncePlanner(RolloutPlanner):
    """
    Order every replica that is behind.

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
        supply: WeightSource,
    ) -> list[Replica]:
        return behind
