"""Roll out to all replicas at once, the simple baseline."""

from collections.abc import Sequence

from ladder_policy.versions.base import (
    ReplicaVersion,
    RolloutPlanner,
    WeightSource,
)


class AllAtOncePlanner(RolloutPlanner):
    """
    Choose every replica with an older version.

    Examples
    --------
    >>> replicas = [
    ...     ReplicaVersion('a', 1),
    ...     ReplicaVersion('b', 1),
    ...     ReplicaVersion('c', 2),
    ... ]
    >>> chosen = AllAtOncePlanner().choose(replicas, WeightSource(2))
    >>> [replica.name for replica in chosen]
    ['a', 'b']

    """

    def _choose(
        self,
        behind: list[ReplicaVersion],
        replicas: Sequence[ReplicaVersion],
        source: WeightSource,
    ) -> list[ReplicaVersion]:
        return behind
