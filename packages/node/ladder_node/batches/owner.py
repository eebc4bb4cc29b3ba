"""Component that runs the batches while this node holds their lease."""

import asyncio

from loguru import logger
from prometheus_client import Gauge

from ladder_core.supervision import TaskComponent
from ladder_node.batches.dependencies import OwnerDependencies
from ladder_node.batches.fence import OwnershipLostError
from ladder_node.batches.offers import DutyOffer, DutyOfferReply
from ladder_node.batches.session import OwnerSession
from ladder_node.leases import Lease, LeaseCandidate
from ladder_policy.routing import RelayCandidate

DUTY = 'batches'
_ATTEMPT_INTERVAL_SECONDS = 0.3
_RETRY_INTERVAL_SECONDS = 0.3

_owner_gauge = Gauge(
    'ladder_batches_owner',
    'One while this node runs the batches',
)


class BatchOwner(TaskComponent):
    """
    Run the batches of the deployment on one node at a time.

    Parameters
    ----------
    dependencies : OwnerDependencies
        Components of the node that running batches requires.
    candidate : LeaseCandidate
        Tries to acquire the lease of the duty.

    """

    def __init__(
        self, dependencies: OwnerDependencies, candidate: LeaseCandidate
    ) -> None:
        super().__init__()
        self._dependencies = dependencies
        self._candidate = candidate
        self._lease: Lease | None = None
        self._offered = asyncio.Event()
        self._is_offered = False
        self._is_closed = False

    def receive_offer(self, offer: DutyOffer) -> DutyOfferReply:
        """Try to take the duty, which was released for this node."""
        is_accepted = (
            offer.duty == DUTY
            and not self._is_closed
            and self._dependencies.fitness.should_take()
        )
        if is_accepted:
            self._offered.set()
        return DutyOfferReply(is_accepted)

    async def close(self) -> None:
        """Stop all work and release the lease, so another node can take it."""
        self._is_closed = True
        await super().close()
        if self._lease is not None:
            await self._lease.release()
            self._lease = None

    async def _run(self) -> None:
        while True:
            # A node without a configuration could not plan.
            if self._dependencies.routes.current is None:
                await self._wait()
                continue
            lease = await self._try_acquire()
            if lease is None:
                await self._wait()
                continue
            await self._hold(lease)

    async def _try_acquire(self) -> Lease | None:
        """Return the lease if this node should hold the duty and does."""
        is_offered = self._is_offered
        self._is_offered = False
        if not self._dependencies.fitness.should_take():
            return None
        if is_offered:
            return await self._candidate.acquire_now(DUTY)
        return await self._candidate.try_acquire(DUTY)

    async def _hand_over(self, lease: Lease, successor: RelayCandidate) -> None:
        """Release the lease for a node that reaches the engines."""
        await lease.release(successor.name)
        await self._dependencies.fitness.offer(successor, DUTY)

    async def _wait(self) -> None:
        """Wait for the next attempt, or until the duty is offered."""
        timer = asyncio.ensure_future(
            self._dependencies.timers.sleep(_ATTEMPT_INTERVAL_SECONDS)
        )
        offer = asyncio.ensure_future(self._offered.wait())
        try:
            await asyncio.wait(
                (timer, offer), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
            offer.cancel()
        self._is_offered = self._is_offered or self._offered.is_set()
        self._offered.clear()

    async def _hold(self, lease: Lease) -> None:
        self._lease = lease
        _owner_gauge.set(1)
        self._dependencies.timeline.record(
            'duty-begun', DUTY, epoch=lease.epoch
        )
        reason = 'closed'
        session = OwnerSession(self._dependencies, lease)
        try:
            await session.run()
        except OwnershipLostError as error:
            reason = error.message
            if session.handover.successor is not None:
                await self._hand_over(lease, session.handover.successor)
        except Exception as error:
            reason = repr(error)
            logger.exception('duty {} failed; its lease is released', DUTY)
            await lease.release()
            await self._dependencies.timers.sleep(_RETRY_INTERVAL_SECONDS)
        finally:
            _owner_gauge.set(0)
            self._dependencies.timeline.record(
                'duty-ended',
                DUTY,
                epoch=lease.epoch,
                reason=reason,
            )
