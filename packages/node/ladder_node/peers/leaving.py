"""Spread which targets leave."""

import msgspec

from ladder_core.supervision import Service
from ladder_core.timers import Subscription, TimerService
from ladder_core.values import HostKind
from ladder_node.peers.facts import Fact, FactKind
from ladder_node.peers.gossip import Gossip
from ladder_node.targets import Target, TargetTable

_COMPARE_SECONDS = 0.5
# Outlives the lag of the platform's list many times over.
_LEAVING_TTL_SECONDS = 600


class LeavingTarget(msgspec.Struct, frozen=True, array_like=True):
    """
    Body of a fact on a leaving target.

    Attributes
    ----------
    address : str
        Tells the target from a later one of the same name.

    """

    address: str


class LeavingTargets(Service):
    """
    Publish the leaving targets that this node learns of, and take others'.

    Explanation
    -----------
    The two sides are compared periodically, so a target that the lagging
    list brings up only after the news of its leaving is marked too.

    Parameters
    ----------
    targets : TargetTable
        The targets.
    gossip : Gossip
        Spreads them.
    timers : TimerService
        Source of time.

    """

    def __init__(
        self,
        targets: TargetTable,
        gossip: Gossip,
        timers: TimerService,
    ) -> None:
        self._targets = targets
        self._gossip = gossip
        self._timers = timers
        self._known: dict[str, str] = {}
        self._subscription: Subscription | None = None

    async def start(self) -> None:
        """Begin to compare and to listen."""
        self._gossip.subscribe(FactKind.target_leaving, self._take)
        self._subscription = self._timers.subscribe(
            _COMPARE_SECONDS,
            self._compare,
        )

    async def close(self) -> None:
        """Compare no more."""
        if self._subscription is not None:
            await self._subscription.close()
            self._subscription = None

    def _take(self, fact: Fact) -> None:
        state = msgspec.msgpack.decode(fact.body, type=LeavingTarget)
        self._known[fact.key] = state.address
        for target in self._list_targets():
            if target.entry.name == fact.key:
                self._mark(target)

    async def _compare(self) -> None:
        targets = self._list_targets()
        for target in targets:
            if target.is_leaving:
                self._publish(target)
            else:
                self._mark(target)
        facts = self._gossip.list_facts(FactKind.target_leaving)
        held = {fact.key for fact in facts}
        self._known = {
            name: address
            for name, address in self._known.items()
            if name in held
        }

    def _publish(self, target: Target) -> None:
        name, address = target.entry.name, target.entry.address
        if self._known.get(name) == address:
            return
        self._known[name] = address
        body = msgspec.msgpack.encode(LeavingTarget(address))
        kind = FactKind.target_leaving
        self._gossip.publish(Fact(kind, name, _LEAVING_TTL_SECONDS, body))

    def _mark(self, target: Target) -> None:
        if self._known.get(target.entry.name) == target.entry.address:
            self._targets.mark_leaving(target.entry.name)

    def _list_targets(self) -> list[Target]:
        return [
            target
            for kind in HostKind
            if kind is not HostKind.entry
            for target in self._targets.list_all(kind)
        ]
