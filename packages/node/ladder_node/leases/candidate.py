"""Seek leases of duties so that they spread over the live nodes."""

from collections.abc import Callable, Iterable, Mapping

from ladder_core.timers import TimerService
from ladder_node.leases.lease import Lease
from ladder_node.leases.manager import LeaseManager
from ladder_node.leases.ranking import choose_period, rank_node

# Looks are this many times as far apart as the table takes for one.
_BACKOFF_FACTOR = 2
# A table that has recovered is asked again after this time at the latest.
_MAX_BACKOFF_SECONDS = 2


class LeaseCandidate:
    """
    Try for a lease at the times that a node's rank gives it.

    Parameters
    ----------
    leases : LeaseManager
        The leases of this node.
    node : str
        Name of this node.
    list_nodes : callable
        Returns the names of the live nodes.
    timers : TimerService
        Source of time.
    base_period_seconds : float, optional
        Period of the first rank.
    find_capacities : callable, optional
        Returns what the hosts of the nodes can do, by node, in any unit.

    """

    def __init__(
        self,
        leases: LeaseManager,
        node: str,
        list_nodes: Callable[[], Iterable[str]],
        timers: TimerService,
        base_period_seconds: float = 1,
        find_capacities: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self._leases = leases
        self._node = node
        self._list_nodes = list_nodes
        self._timers = timers
        self._base_period_seconds = base_period_seconds
        self._find_capacities = find_capacities
        self._nodes: tuple[str, ...] = ()
        self._periods: dict[str, float] = {}
        self._attempted_at: dict[str, float] = {}

    async def try_acquire(self, name: str) -> Lease | None:
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
        held = self._leases.find_own(name)
        if held is not None:
            return held
        now = self._timers.now()
        period = self._find_period(name)
        # The first rank tries at once, each other one a period later.
        is_first = period <= self._base_period_seconds
        initial = now - period if is_first else now
        if now < self._attempted_at.setdefault(name, initial) + period:
            return None
        lease = await self._leases.acquire(name)
        # A slow table is asked less often.
        elapsed = self._timers.now() - now
        backoff = min(_BACKOFF_FACTOR * elapsed, _MAX_BACKOFF_SECONDS)
        self._attempted_at[name] = now + backoff
        return lease

    def _find_period(self, name: str) -> float:
        """Rank this node again only when the live nodes have changed."""
        nodes = tuple(self._list_nodes())
        if nodes != self._nodes:
            self._nodes = nodes
            self._periods.clear()
        if name not in self._periods:
            capacities = self._find_capacities()
            rank = rank_node(name, self._node, nodes, capacities)
            period = choose_period(name, self._node, rank)
            self._periods[name] = self._base_period_seconds * period
        return self._periods[name]
