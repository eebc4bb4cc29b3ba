"""How many samples of a step the engines can take at once."""

from dataclasses import dataclass

from ladder_core.values import Allowance, HostKind
from ladder_node.targets import Target, TargetTable

_OVERCOMMIT_RATIO = 1.5


@dataclass(frozen=True, slots=True)
class BatchSlots:
    """
    BatchSlots in the batches of the engines that a step may use.

    Attributes
    ----------
    engines : int
        BatchSlots of all engines together.

    """

    total: int

    @property
    def max_in_flight(self) -> int:
        """Number of samples to have in flight, at least one."""
        return max(1, int(self.total * _OVERCOMMIT_RATIO))


class StepCapacity:
    """
    Count the places in the batches of engines.

    Parameters
    ----------
    targets : TargetTable
        What is known of the engines.

    Notes
    -----
    Somewhat more samples are sent than the batches hold, so that a place
    that falls free is taken from the engine's own queue.

    """

    def __init__(self, targets: TargetTable) -> None:
        self._targets = targets

    def count_slots(self, model: str, allowance: Allowance) -> BatchSlots:
        """
        Return the places that a step may use.

        Parameters
        ----------
        model : str
            Model that generates.
        allowance : Allowance
            What the plan may use.

        Returns
        -------
        BatchSlots
            The places of the engines that are available now.

        """
        total = sum(
            1 if target.state is None else target.state.batch_limit
            for target in self._targets.list_available(HostKind.engine)
            if _is_allowed(target, model, allowance)
        )
        return BatchSlots(total)


def _is_allowed(target: Target, model: str, allowance: Allowance) -> bool:
    entry = target.entry
    if entry.model != model or entry.pool not in allowance.pools:
        return False
    centres = allowance.data_centres
    return not centres or entry.data_centre in centres
