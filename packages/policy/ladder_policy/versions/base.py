"""The contract of a plan for weight swaps."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Replica:
    """
    A replica of the model whose weights change.

    Attributes
    ----------
    name : str
        Name of the target.
    version : int
        Version that it states.
    is_swapping : bool
        Whether it loads a version now.
    is_remote : bool
        Whether the weights reach it over a link between regions.

    """

    name: str
    version: int
    is_swapping: bool = False
    is_remote: bool = False


@dataclass(frozen=True, slots=True)
class WeightSource:
    """
    What the weight store offers.

    Attributes
    ----------
    version : int
        The wanted version.
    size_bytes : int
        Bytes that one replica fetches.
    bytes_per_second : float
        Rate limit of the store over all replicas; zero if it has none.

    """

    version: int
    size_bytes: int = 0
    bytes_per_second: float = 0


class RolloutPlanner(ABC):
    """Chooses the replicas that shall swap next."""

    def choose(
        self,
        replicas: Sequence[Replica],
        supply: WeightSource,
    ) -> list[Replica]:
        """
        Choose among all replicas of a pool.

        Parameters
        ----------
        replicas : sequence of Replica
            All replicas of the model in the pool.
        supply : WeightSource
            The wanted version.

        Returns
        -------
        list of Replica
            Those to be ordered now; none of them swaps or is up to date.

        """
        behind = [
            replica
            for replica in replicas
            if replica.version < supply.version and not replica.is_swapping
        ]
        return self._choose(behind, replicas, supply) if behind else []

    @abstractmethod
    def _choose(
        self,
        behind: list[Replica],
        replicas: Sequence[Replica],
        supply: WeightSource,
    ) -> list[Replica]:
        """Choose among the replicas that are behind, at least one."""
