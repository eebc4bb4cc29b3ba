"""Numbers of replicas that are changed one by one within the limits."""

import math
from dataclasses import dataclass

from ladder_core.values import ScalingLimits
from ladder_policy.scaling.base import (
    DataCentreState,
    PoolState,
    ReplicaTarget,
)


@dataclass(slots=True)
class _Pool:
    """Planned number of one kind of replicas in a data centre."""

    data_centre: str
    is_spot: bool
    price: float
    present: int
    count: int
    busy: int
    can_grow: bool

    def make_target(self) -> ReplicaTarget:
        return ReplicaTarget(self.data_centre, self.count, self.is_spot)


class FleetPlan:
    """
    Planned numbers of replicas, beginning with the present ones.

    Explanation
    -----------
    Replicas are added where there are fewest of their kind and removed where
    there are most, the cheaper data centre first and the dearer one first,
    respectively. Nothing is moved for the sake of an even spread only, since
    changes cost.

    Parameters
    ----------
    limits : ScalingLimits
        Limits for each data centre, and prices.
    slots : float
        Number of tasks that a replica runs at once.

    """

    def __init__(self, limits: ScalingLimits, slots: float) -> None:
        self._limits = limits
        self._slots = max(slots, 1)
        self._pools: list[_Pool] = []
        self._has_recent_loss = False

    def add_data_centre(
        self, state: DataCentreState, *, allows_spot: bool, is_reclaimed: bool
    ) -> None:
        """
        Add the present replicas of a data centre.

        Parameters
        ----------
        state : DataCentreState
            The present replicas.
        allows_spot : bool
            Whether spot replicas may be used at all.
        is_reclaimed : bool
            Whether spot replicas were taken back there a short time ago; those
            that have been ordered there then won't come.

        """
        price = self._limits.prices.get(state.name, 1)
        spot_count = state.spot.serving if is_reclaimed else state.spot.count
        self._has_recent_loss = self._has_recent_loss or is_reclaimed
        self._pools.append(
            _Pool(
                state.name,
                is_spot=False,
                price=price,
                present=state.regular.count,
                count=state.regular.count,
                busy=self._count_busy(state.regular),
                can_grow=not state.regular.is_blocked,
            )
        )
        self._pools.append(
            _Pool(
                state.name,
                is_spot=True,
                price=price * self._limits.spot_price,
                present=spot_count,
                count=spot_count,
                busy=self._count_busy(state.spot),
                can_grow=allows_spot
                and not is_reclaimed
                and not state.spot.is_blocked,
            )
        )

    @property
    def regular(self) -> int:
        """Planned number of regular replicas."""
        return sum(pool.count for pool in self._pools if not pool.is_spot)

    @property
    def reliable(self) -> int:
        """
        Number of replicas that remain if a data centre's spot replicas go.

        The one with most of them counts, unless one has lost them just now.
        """
        spot = [pool.count for pool in self._pools if pool.is_spot]
        lost = 0 if self._has_recent_loss else max(spot, default=0)
        return self.regular + sum(spot) - lost

    def add_regular(self) -> bool:
        """Add a regular replica; return False if that is not possible."""
        return _add_one(self._list_growing(is_spot=False))

    def add_spot(self) -> bool:
        """Add a spot replica; return False if that is no use."""
        growing = self._list_growing(is_spot=True)
        largest = max(
            (pool.count for pool in self._pools if pool.is_spot), default=0
        )
        # More of them in a single data centre would all be lost together.
        is_useless = len(growing) == 1 and growing[0].count >= largest
        if is_useless and not self._has_recent_loss:
            return False
        return _add_one(growing)

    def remove(self, *, is_spot: bool) -> bool:
        """Remove a replica; return False if that is not possible."""
        pool = max(
            (
                pool
                for pool in self._pools
                if pool.is_spot == is_spot
                and pool.count > self._find_floor(pool)
                and self._count_total(pool) > self._limits.min_replicas
            ),
            key=lambda pool: (pool.count, pool.price, pool.data_centre),
            default=None,
        )
        if pool is not None:
            pool.count -= 1
        return pool is not None

    def fill_minimum(self) -> None:
        """Add regular replicas in data centres with fewer than the minimum."""
        for pool in self._pools:
            missing = self._limits.min_replicas - self._count_total(pool)
            if not pool.is_spot and pool.can_grow and missing > 0:
                pool.count += missing

    def trim_to_maximum(self) -> None:
        """Remove replicas beyond the maximum that run no tasks, spot first."""
        for pool in sorted(self._pools, key=lambda pool: not pool.is_spot):
            excess = self._count_total(pool) - self._limits.max_replicas
            if excess > 0:
                pool.count = min(
                    pool.count, max(pool.count - excess, pool.busy)
                )

    def list_changes(self) -> list[ReplicaTarget]:
        """Return the planned numbers that differ from the present ones."""
        return [
            pool.make_target()
            for pool in self._pools
            if pool.count != pool.present
        ]

    def _list_growing(self, *, is_spot: bool) -> list[_Pool]:
        return [
            pool
            for pool in self._pools
            if pool.is_spot == is_spot
            and pool.can_grow
            and self._count_total(pool) < self._limits.max_replicas
        ]

    def _find_floor(self, pool: _Pool) -> int:
        """Return the number that is not reduced any further."""
        if pool.is_spot:
            return pool.busy
        return max(pool.busy, self._limits.min_replicas)

    def _count_total(self, member: _Pool) -> int:
        return sum(
            pool.count
            for pool in self._pools
            if pool.data_centre == member.data_centre
        )

    def _count_busy(self, state: PoolState) -> int:
        return math.ceil(state.running / self._slots)


def _add_one(pools: list[_Pool]) -> bool:
    """Add a replica where there are fewest; return False without pools."""
    pool = min(
        pools,
        key=lambda member: (member.count, member.price, member.data_centre),
        default=None,
    )
    if pool is not None:
        pool.count += 1
    return pool is not None
