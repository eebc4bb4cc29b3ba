"""Waves bounded by pool capacity, weight store rate and region link."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass

from ladder_policy.versions.base import (
    ReplicaVersion,
    RolloutPlanner,
    WeightSource,
)


@dataclass(frozen=True, slots=True)
class WaveLimits:
    """
    Limits of one wave of swaps.

    Attributes
    ----------
    max_unavailable_share : float
        Largest share of a pool that may swap at the same time.
    wave_seconds : float
        Time in which the transfers of one wave should be complete.
    link_bytes_per_second : float
        Bandwidth that swaps may use on a link between regions.

    """

    max_unavailable_share: float = 0.34
    wave_seconds: float = 7
    link_bytes_per_second: float = 12_500_000


class WavePlanner(RolloutPlanner):
    """
    Swap in waves, so that most of a pool keeps serving.

    Explanation
    -----------
    One replica may swap whatever the limits are, so a rollout always makes
    progress. Replicas in the region of the weight store swap first: their
    transfers are the fastest, and each that completes allows a replica in
    another region to start.

    Parameters
    ----------
    limits : WaveLimits, optional
        Limits of one wave; the defaults if not given.

    Examples
    --------
    >>> replicas = [ReplicaVersion(name, 1) for name in 'abcdef']
    >>> chosen = WavePlanner().choose(replicas, WeightSource(2))
    >>> [replica.name for replica in chosen]
    ['a', 'b']

    """

    def __init__(self, limits: WaveLimits | None = None) -> None:
        self._limits = limits or WaveLimits()

    def _choose(
        self,
        behind: list[ReplicaVersion],
        replicas: Sequence[ReplicaVersion],
        source: WeightSource,
    ) -> list[ReplicaVersion]:
        swapping = [replica for replica in replicas if replica.is_swapping]
        max_unavailable = max(
            int(len(replicas) * self._limits.max_unavailable_share), 1
        )
        max_transfers = self._count_transfers(source, source.bytes_per_second)
        free = min(max_unavailable, max_transfers) - len(swapping)
        remote_transfers = self._count_transfers(
            source,
            self._limits.link_bytes_per_second,
        )
        remote_transfers -= sum(replica.is_remote for replica in swapping)
        local = [replica for replica in behind if not replica.is_remote]
        remote = [replica for replica in behind if replica.is_remote]
        wave = local + remote[: max(remote_transfers, 0)]
        return wave[: max(free, 0)]

    def _count_transfers(self, source: WeightSource, rate: float) -> int:
        """Return the number of transfers that fit into a wave, at least one."""
        if not source.size_bytes or not rate:
            return sys.maxsize
        return max(int(rate * self._limits.wave_seconds / source.size_bytes), 1)
