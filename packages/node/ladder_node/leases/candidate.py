"""Acquire leases in an order that spreads duties over the live nodes."""

from collections.abc import Callable, Iterable, Mapping

from ladder_core.timers import TimerService
from ladder_node.leases.lease import Lease
from ladder_node.leases.manager import LeaseManager
from ladder_node.leases.ranking import choose_period, rank_node

# Multiple of an attempt's duration that is added to the time until the next
# one, so that a slow table gets fewer reads.
_BACKOFF_FACTOR = 2
# Upper limit of that addition: it bounds how late a lease is taken after the
# table has recovered.
_MAX_BACKOFF_SECONDS = 2


class LeaseCandidate:
    """
    Try for leases at a period that depends on the node's rank.

    Parameters
    ----------
    leases : LeaseManager
        Holds and acquires the leases of this node.
    node : str
        Name of this node, which is ranked for each duty.
    list_nodes : callable
        Returns the names of the live nodes.
    timers : TimerService
        Clock that schedules the attempts.
    base_period_seconds : float, optional
        Seconds between attempts of the node that ranks first; other ranks
        have multiples of it.
    find_capacities : callable, optional
        Returns the capacity of each node's host by node name, in any unit.

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
        Return a duty's lease if this node holds it or acquires it now.

        Explanation
        -----------
        An attempt is made only when the period of this node's rank has
        passed since the last one; other calls do not reach the table.

        Parameters
        ----------
        name : str
            Name of the duty, which is also the name of its lease.

        Returns
        -------
        Lease or None
            A lease that was valid when it was checked; None if this node does
            not hold it.

        """
        held = self._leases.find_own(name)
        if held is not None:
            return held
        now = self._timers.now()
        period = self._find_period(name)
        # The first rank tries at once, every other rank after one period.
        is_first = period <= self._base_period_seconds
        initial = now - period if is_first else now
        if now < self._attempted_at.setdefault(name, initial) + period:
            return None
        lease = await self._leases.acquire(name)
        # A slow table gets attempts less often.
        elapsed_seconds = self._timers.now() - now
        backoff = min(_BACKOFF_FACTOR * elapsed_seconds, _MAX_BACKOFF_SECONDS)
        self._attempted_at[name] = now + backoff
        return lease

    async def acquire_now(self, name: str) -> Lease | None:
        """Try to acquire a duty's lease that was released for this node."""
        return await self._leases.acquire(name)

    def _find_period(self, name: str) -> float:
        """Return the period; it is recomputed when the live nodes change."""
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
