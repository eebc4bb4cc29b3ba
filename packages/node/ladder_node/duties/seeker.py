"""Seek leases of duties so that they spread over the live nodes."""

from collections.abc import Callable, Iterable

from ladder_core.timers import TimerService
from ladder_node.duties.keeper import LeaseKeeper
from ladder_node.duties.lease import Lease
from ladder_node.duties.spread import delay_acquisition, rank_node

_CLOSE_RANKS = 3
_CLOSE_SECONDS = 1
_DISTANT_SECONDS = 20


class DutySeeker:
    """
    Try for a lease at the times that a node's rank gives it.

    Explanation
    -----------
    The first ranks look often and take over from a lost holder. The others
    look seldom: the reads of the table service do not grow with the number
    of nodes, and a duty is taken also when the first ranks are all gone.

    Parameters
    ----------
    leases : LeaseKeeper
        The leases of this node.
    node : str
        Name of this node.
    list_nodes : callable
        Returns the names of the live nodes.
    timers : TimerService
        Source of time.

    """

    def __init__(
        self,
        leases: LeaseKeeper,
        node: str,
        list_nodes: Callable[[], Iterable[str]],
        timers: TimerService,
    ) -> None:
        self._leases = leases
        self._node = node
        self._list_nodes = list_nodes
        self._timers = timers
        self._due: dict[str, float] = {}

    async def seek(self, name: str) -> Lease | None:
        """
        Return the lease of a duty if this node holds it or gets it now.

        Parameters
        ----------
        name : str
            Name of the duty.

        Returns
        -------
        Lease or None
            A lease that was valid when it was looked at.

        """
        held = self._leases.find_held(name)
        if held is not None:
            return held
        now = self._timers.now()
        nodes = tuple(self._list_nodes())
        delay = delay_acquisition(name, self._node, nodes)
        if now < self._due.setdefault(name, now + delay):
            return None
        is_close = rank_node(name, self._node, nodes) < _CLOSE_RANKS
        period = _CLOSE_SECONDS if is_close else _DISTANT_SECONDS
        self._due[name] = now + period
        return await self._leases.acquire(name)
