"""Interface of the policies that plan weight swaps."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicaVersion:
    """
    A replica, and the weight version that it serves.

    Attributes
    ----------
    name : str
        Name of the target, to which the order is sent.
    version : int
        Weight version by the replica's status report.
    is_swapping : bool
        Whether the replica is loading a version.
    is_remote : bool
        Whether the weights are transferred over a link between regions.

    """

    name: str
    version: int
    is_swapping: bool = False
    is_remote: bool = False


@dataclass(frozen=True, slots=True)
class WeightSource:
    """
    The version to roll out, and the limits of the weight store.

    Attributes
    ----------
    version : int
        Version that all replicas are to load.
    size_bytes : int
        Bytes that one replica downloads.
    bytes_per_second : float
        Rate limit of the store for all replicas together; zero for none.

    """

    version: int
    size_bytes: int = 0
    bytes_per_second: float = 0


class RolloutPlanner(ABC):
    """Chooses the replicas that swap their weights next."""

    def choose(
        self,
        replicas: Sequence[ReplicaVersion],
        source: WeightSource,
    ) -> list[ReplicaVersion]:
        """
        Return the replicas of a pool that are to be ordered to swap now.

        Parameters
        ----------
        replicas : sequence of ReplicaVersion
            All replicas of the model in the pool.
        source : WeightSource
            The version to roll out.

        Returns
        -------
        list of ReplicaVersion
            Replicas with an older version that are not swapping.

        """
        behind = [
            replica
            for replica in replicas
            if replica.version < source.version and not replica.is_swapping
        ]
        return self._choose(behind, replicas, source) if behind else []

    @abstractmethod
    def _choose(
        self,
        behind: list[ReplicaVersion],
        replicas: Sequence[ReplicaVersion],
        source: WeightSource,
    ) -> list[ReplicaVersion]:
        """Choose among the replicas with an older version, at least one."""
