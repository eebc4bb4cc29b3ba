"""Whether this node should run the batches, by its paths to the engines."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence

from ladder_core.timers import TimerService
from ladder_core.values import RouteKind, RouteTable
from ladder_node.batches.fence import DutyUnfitError
from ladder_node.batches.offers import DutyOffer, OfferSender
from ladder_node.members import Member
from ladder_node.routes import RouteCache
from ladder_policy.duties import DutyTenure
from ladder_policy.routing import RelayCandidate

# Pause between two searches for a node that should hold the duty.
_SEARCH_INTERVAL_SECONDS = 0.5


class DutyFitness(ABC):
    """Decides whether a node holds or takes the duty."""

    @abstractmethod
    def should_hold(self) -> bool:
        """Return whether a node that holds the duty should keep it."""

    @abstractmethod
    def should_take(self) -> bool:
        """Return whether a node should try to take the duty."""

    @abstractmethod
    async def find_successor(self) -> RelayCandidate | None:
        """Return a node that can hold the duty better, or None."""

    @abstractmethod
    async def offer(self, successor: RelayCandidate, duty: str) -> None:
        """Let a node take a duty that was released for it."""


class PathFitness(DutyFitness):
    """
    Decide by the paths of this node and of the others to the engines.

    Parameters
    ----------
    node : str
        Name of this node.
    routes : RouteCache
        Routes of batches, which name the services of engines.
    list_lost : callable
        Returns the services that this node has lost its path to.
    list_members : callable
        Returns the live nodes with the services that they have lost.
    find_node : callable
        Returns a node that reaches a service at present, or None.
    sender : OfferSender
        Sends offers to other nodes.
    timers : TimerService
        Clock of the decisions.

    """

    def __init__(
        self,
        node: str,
        routes: RouteCache,
        list_lost: Callable[[], Sequence[str]],
        list_members: Callable[[], Sequence[Member]],
        find_node: Callable[[str], Awaitable[RelayCandidate | None]],
        sender: OfferSender,
        timers: TimerService,
    ) -> None:
        self._node = node
        self._routes = routes
        self._list_lost = list_lost
        self._list_members = list_members
        self._find_node = find_node
        self._sender = sender
        self._timers = timers
        self._tenure = DutyTenure()

    def should_hold(self) -> bool:
        """Return whether a node that holds the duty should keep it."""
        return self._observe().should_hold(self._timers.now())

    def should_take(self) -> bool:
        """Return whether a node should try to take the duty."""
        return self._observe().should_take(self._timers.now())

    async def find_successor(self) -> RelayCandidate | None:
        """Return a node that reaches a service that this one lost."""
        lost = list_batch_services(self._routes.current).intersection(
            self._list_lost()
        )
        return await self._find_node(min(lost)) if lost else None

    async def offer(self, successor: RelayCandidate, duty: str) -> None:
        """Let a node take a duty that was released for it."""
        await self._sender.send(successor.address, DutyOffer(duty))

    def _observe(self) -> DutyTenure:
        services = list_batch_services(self._routes.current)
        self._tenure.observe(
            self._timers.now(),
            is_path_lost=not services.isdisjoint(self._list_lost()),
            has_fit_peer=any(
                services.isdisjoint(member.lost_services)
                and not member.is_leaving
                for member in self._list_members()
                if member.name != self._node
            ),
        )
        return self._tenure


class HandoverCheck:
    """
    End a tenure for which another node is better.

    Parameters
    ----------
    fitness : DutyFitness
        Decides on the tenure of this node.
    timers : TimerService
        Clock of the searches.

    """

    def __init__(self, fitness: DutyFitness, timers: TimerService) -> None:
        self._fitness = fitness
        self._timers = timers
        self._successor: RelayCandidate | None = None
        self._search_at: float = 0

    @property
    def successor(self) -> RelayCandidate | None:
        """Node that should hold the duty next; None while it stays."""
        return self._successor

    async def check(self) -> None:
        """
        Return if the duty stays; it does if no other node reaches the engines.

        Raises
        ------
        DutyUnfitError
            The successor should hold the duty.

        """
        now = self._timers.now()
        if now < self._search_at or self._fitness.should_hold():
            return
        self._search_at = now + _SEARCH_INTERVAL_SECONDS
        successor = await self._fitness.find_successor()
        # The path may have come back during the search.
        if successor is not None and not self._fitness.should_hold():
            self._successor = successor
            raise DutyUnfitError(
                'this node has lost its path to the engines',
                remedy='hand the duty over to a node that has one',
            )


def list_batch_services(table: RouteTable | None) -> frozenset[str]:
    """Return the services that run the tasks of batches."""
    if table is None:
        return frozenset()
    return frozenset(
        share.service
        for route in table.list_routes()
        if route.kind is RouteKind.batch
        for share in route.shares
    )
