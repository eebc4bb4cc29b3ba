"""How many samples of a step may be in flight on the engines."""

from dataclasses import dataclass

from ladder_core.values import Allowance, HostKind
from ladder_node.targets import Target, TargetTable

_OVERCOMMIT_RATIO = 1.5


@dataclass(frozen=True, slots=True)
class BatchSlots:
    """
    Batch slots of the engines that a step may use.

    Attributes
    ----------
    total : int
        Sum of the batch slots of all these engines.

    """

    total: int

    @property
    def max_in_flight(self) -> int:
        """Number of samples to keep in flight; at least one."""
        return max(1, int(self.total * _OVERCOMMIT_RATIO))


class StepCapacity:
    """
    Count the batch slots of engines.

    Parameters
    ----------
    targets : TargetTable
        Engines with their pools, data centres and batch limits.

    Notes
    -----
    More samples are sent than the engines have batch slots, so that an engine
    fills a slot that becomes free from its own queue.

    """

    def __init__(self, targets: TargetTable) -> None:
        self._targets = targets

    def count_slots(self, model: str, allowance: Allowance) -> BatchSlots:
        """
        Return the batch slots that a step may use.

        Parameters
        ----------
        model : str
            Only engines that serve this model count.
        allowance : Allowance
            Pools and data centres that the plan may use; without any data
            centre, engines in all of them count.

        Returns
        -------
        BatchSlots
            Slots of the engines that are available now; an engine whose state
            is unknown counts as one slot.

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
