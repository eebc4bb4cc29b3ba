"""Reconciliation of the pools of engines whose leases this node holds."""

import asyncio

from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_core.values import HostKind
from ladder_node.duties.weights import WeightRollout
from ladder_node.leases.candidate import LeaseCandidate
from ladder_node.targets import TargetTable

_RECONCILE_INTERVAL_SECONDS = 1


class PoolReconciler(Component):
    """
    Periodically reconcile each pool of engines whose lease this node holds.

    Parameters
    ----------
    targets : TargetTable
        Lists the engines, and with them the names of the pools.
    candidate : LeaseCandidate
        Tries to acquire the lease of each pool.
    rollout : WeightRollout
        Orders the engines of a pool to load the newest weights.
    timers : TimerService
        Runs the periodic reconciliation.

    """

    def __init__(
        self,
        targets: TargetTable,
        candidate: LeaseCandidate,
        rollout: WeightRollout,
        timers: TimerService,
    ) -> None:
        self._targets = targets
        self._candidate = candidate
        self._rollout = rollout
        self._timers = timers
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Start the periodic reconciliation."""
        self._periodic_call = self._timers.call_periodically(
            _RECONCILE_INTERVAL_SECONDS,
            self._reconcile_all,
        )

    async def close(self) -> None:
        """Stop the reconciliation; the lease manager releases the leases."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    async def _reconcile_all(self) -> None:
        engines = self._targets.list_all(HostKind.engine)
        pools = sorted({target.entry.pool for target in engines})
        await asyncio.gather(*(self._reconcile(pool) for pool in pools))

    async def _reconcile(self, pool: str) -> None:
        lease = await self._candidate.try_acquire(f'pool/{pool}')
        if lease is not None:
            await self._rollout.reconcile(pool, lease)
