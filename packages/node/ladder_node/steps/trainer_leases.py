"""Which node runs a trainer's steps."""

from ladder_node.leases import Lease, LeaseManager
from ladder_node.steps.errors import StepElsewhereError
from ladder_node.steps.metrics import STEPS_REDIRECTED


class TrainerLeases:
    """
    Hold a lease for each trainer whose steps run here.

    Parameters
    ----------
    leases : LeaseManager
        Acquires and renews.
    address : str
        ``ip:port`` of this node for callers.

    Notes
    -----
    The lease only keeps nodes from doing the same work. What a trainer is
    handed does not depend on it, so a node that can't have it may run a step
    without it.

    """

    def __init__(self, leases: LeaseManager, address: str) -> None:
        self._leases = leases
        self._address = address
        self._held: dict[str, Lease] = {}

    @property
    def trainers(self) -> tuple[str, ...]:
        """Trainers whose lease was acquired here."""
        return tuple(self._held)

    async def acquire_or_redirect(
        self,
        trainer: str,
        step: int,
        unreachable_address: str = '',
    ) -> None:
        """
        Take a trainer's lease if it can be had.

        Parameters
        ----------
        trainer : str
            Name of the trainer.
        step : int
            The step that is asked for.
        unreachable_address : str, optional
            Address of a node that the trainer could not reach.

        Raises
        ------
        StepElsewhereError
            Another node holds the lease, and the trainer may reach it.
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
        """Give a trainer's lease back; one not held here is ignored."""
        lease = self._held.pop(trainer, None)
        if lease is not None:
            await lease.release()
