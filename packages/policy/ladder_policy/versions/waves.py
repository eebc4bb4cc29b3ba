"""Waves bounded by capacity, the weight store's rate and the region link."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass

from ladder_policy.versions.base import Replica, RolloutPlanner, WeightSource


@dataclass(frozen=True, slots=True)
class WaveLimits:
    """
    Bounds of one wave.

    Attributes
    ----------
    max_unavailable_share : float
        Share of a pool that may swap at once.
    wave_seconds : float
        Seconds within which the transfers of one wave shall end.
    link_bytes_per_second : float
        Rate that swaps may take of a link between regions.

    """

    max_unavailable_share: float = 0.34
    wave_seconds: float = 7
    link_bytes_per_second: float = 12_500_000


class WavePlanner(RolloutPlanner):
    """
    Keep most of a pool serving, and transfers short, while weights change.

    Explanation
    -----------
    At least one replica may swap at any time, so a rollout always goes on.
    Replicas in the weight store's region swap first: they are the fastest,
    and each of them that is done makes room for one behind the link.

    Parameters
    ----------
    limits : WaveLimits, optional
        Bounds of one wave.

    Examples
    --------
    >>> replicas = [Replica(name, 1) for name in 'abcdef']
    >>> chosen = WavePlanner().choose(replicas, WeightSource(2))
    >>> [replica.name for replica in chosen]
    ['a', 'b']

    """

    def __init__(self, limits: WaveLimits | None = None) -> None:
        self._limits = limits or WaveLimits()

    def _choose(
        self,
        behind: list[Replica],
        replicas: Sequence[Replica],
        supply: WeightSource,
    ) -> list[Replica]:
        swapping = [replica for replica in replicas if replica.is_swapping]
        max_unavailable = max(
            int(len(replicas) * self._limits.max_unavailable_share), 1
        )
        max_transfers = self._count_transfers(supply, supply.bytes_per_second)
        free = min(max_unavailable, max_transfers) - len(swapping)
        remote_transfers = self._count_transfers(
            supply,
            self._limits.link_bytes_per_second,
        )
        remote_transfers -= sum(replica.is_remote for replica in swapping)
        local = [replica for replica in behind if not replica.is_remote]
        remote = [replica for replica in behind if replica.is_remote]
        wave = local + remote[: max(remote_transfers, 0)]
        return wave[: max(free, 0)]

    def _count_transfers(self, supply: WeightSource, rate: float) -> int:
        """Return how many transfers fit into a wave, at least one."""
        if not supply.size_bytes or not rate:
            return sys.maxsize
        return max(int(rate * self._limits.wave_seconds / supply.size_bytes), 1)
