"""Leases that decide which node runs a trainer's steps."""

from ladder_node.leases import Lease, LeaseManager
from ladder_node.steps.errors import StepElsewhereError
from ladder_node.steps.metrics import STEPS_REDIRECTED


class TrainerLeases:
    """
    Hold a lease for each trainer whose steps run on this node.

    Parameters
    ----------
    leases : LeaseManager
        Acquires, renews and releases this node's leases.
    address : str
        ``ip:port`` at which this node serves callers.

    Notes
    -----
    The lease only prevents nodes from doing the same work twice. The groups
    that a trainer receives do not depend on it, so a node that cannot acquire
    it may run a step without it.

    """

    def __init__(self, leases: LeaseManager, address: str) -> None:
        self._leases = leases
        self._address = address
        self._held: dict[str, Lease] = {}

    @property
    def trainers(self) -> tuple[str, ...]:
        """Trainers whose lease this node acquired and did not release."""
        return tuple(self._held)

    async def acquire_or_redirect(
        self,
        trainer: str,
        step: int,
        unreachable_address: str = '',
    ) -> None:
        """
        Acquire a trainer's lease, or redirect to the node that holds it.

        Without the lease, the call also returns if the holder is unknown, is
        this node, or cannot be reached by the trainer.

        Parameters
        ----------
        trainer : str
            Trainer whose steps are to run here.
        step : int
            Number of the requested step; only named in the error.
        unreachable_address : str, optional
            ``ip:port`` of a node that the trainer could not reach; the
            request is not redirected to that node.

        Raises
        ------
        StepElsewhereError
            Another node holds the lease, and the trainer did not report it
            as unreachable.
        StoreUnavailableError
            The table service does not answer.

        """
        duty = f'steps/{trainer}'
        lease = await self._leases.acquire(duty)
        if lease is not None:
            self._held[trainer] = lease
            return
        holder = await self._leases.find_holder(duty)
        if holder is None or holder.address in {
            self._address,
            unreachable_address,
        }:
            return
        STEPS_REDIRECTED.inc()
        raise StepElsewhereError(f'{trainer}/{step}', holder.address)

    async def release(self, trainer: str) -> None:
        """Release a trainer's lease; one not held here is ignored."""
        lease = self._held.pop(trainer, None)
        if lease is not None:
            await lease.release()
