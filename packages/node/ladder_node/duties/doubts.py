"""Spread which targets serve an older version than they state."""

import msgspec

from ladder_core.supervision import Service
from ladder_core.timers import Subscription, TimerService
from ladder_core.values import HostKind
from ladder_node.peers import Fact, Gossip
from ladder_node.targets import Target, TargetTable

_KIND = 'version-doubt'
_PUBLISH_INTERVAL_SECONDS = 0.5


class VersionDoubt(msgspec.Struct, frozen=True, array_like=True):
    """
    Body of a fact on a target whose word is not believed.

    Attributes
    ----------
    address : str
        Tells the target from a later one of the same name.

    """

    address: str


class VersionDoubtExchange(Service):
    """
    Publish the doubts that this node's streams raise, and take others'.

    Explanation
    -----------
    Any node may see the contradiction; only the holder of the pool's lease
    may order the target to load again.

    Parameters
    ----------
    targets : TargetTable
        The targets.
    gossip : Gossip
        Spreads the doubts.
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
        self._known_doubts: dict[str, float] = {}
        self._subscription: Subscription | None = None

    async def start(self) -> None:
        """Begin to publish and to listen."""
        self._gossip.subscribe(_KIND, self._receive)
        self._subscription = self._timers.subscribe(
            _PUBLISH_INTERVAL_SECONDS,
            self._publish_new,
        )

    async def close(self) -> None:
        """Publish no more."""
        if self._subscription is not None:
            await self._subscription.close()
            self._subscription = None

    async def _publish_new(self) -> None:
        now = self._timers.now()
        for target in self._targets.list_all(HostKind.engine):
            name = target.entry.name
            is_new = self._known_doubts.get(name) != target.excluded_until
            if target.excluded_until > now and is_new:
                self._known_doubts[name] = target.excluded_until
                self._publish(target, target.excluded_until - now)

    def _publish(self, target: Target, seconds: float) -> None:
        body = msgspec.msgpack.encode(VersionDoubt(target.entry.address))
        self._gossip.publish(Fact(_KIND, target.entry.name, seconds, body))

    def _receive(self, fact: Fact) -> None:
        doubt = msgspec.msgpack.decode(fact.body, type=VersionDoubt)
        self._targets.exclude(fact.key, doubt.address)
        for target in self._targets.list_all(HostKind.engine):
            if target.entry.name == fact.key:
                self._known_doubts[fact.key] = target.excluded_until
