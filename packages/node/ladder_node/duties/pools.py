"""The duties of the pools that this node holds."""

import asyncio

from ladder_core.supervision import Service
from ladder_core.timers import Subscription, TimerService
from ladder_core.values import HostKind
from ladder_node.duties.weights import WeightRollout
from ladder_node.leases.candidate import LeaseCandidate
from ladder_node.targets import TargetTable

_RECONCILE_INTERVAL_SECONDS = 1


class PoolReconciler(Service):
    """
    Care for each pool of engines whose lease this node holds.

    Parameters
    ----------
    targets : TargetTable
        Tells the pools.
    candidate : LeaseCandidate
        Seeks their leases.
    rollout : WeightRollout
        Brings new weights.
    timers : TimerService
        Source of time.

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
        self._subscription: Subscription | None = None

    async def start(self) -> None:
        """Begin to seek leases and to work under them."""
        self._subscription = self._timers.subscribe(
            _RECONCILE_INTERVAL_SECONDS,
            self._reconcile_all,
        )

    async def close(self) -> None:
        """Stop; the keeper releases the leases."""
        if self._subscription is not None:
            await self._subscription.close()
            self._subscription = None

    async def _reconcile_all(self) -> None:
        engines = self._targets.list_all(HostKind.engine)
        pools = sorted({target.entry.pool for target in engines})
        await asyncio.gather(*(self._reconcile(pool) for pool in pools))

    async def _reconcile(self, pool: str) -> None:
        lease = await self._candidate.try_acquire(f'pool/{pool}')
        if lease is not None:
            await self._rollout.reconcile(pool, lease)
