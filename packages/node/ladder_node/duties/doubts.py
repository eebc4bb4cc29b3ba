"""Gossip about targets that serve an older version than they report."""

import msgspec

from ladder_core.messages import decode_msgpack
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_core.values import HostKind
from ladder_node.peers import Fact, Gossip
from ladder_node.targets import Target, TargetTable

_KIND = 'version-doubt'
_PUBLISH_INTERVAL_SECONDS = 0.5


class VersionDoubt(msgspec.Struct, frozen=True, array_like=True):
    """
    Body of a gossip fact on a target whose reported version is doubted.

    Attributes
    ----------
    address : str
        Address of the target; distinguishes it from a later target of the
        same name.

    """

    address: str


class VersionDoubtExchange(Component):
    """
    Exchange doubts about the reported versions of targets with other nodes.

    Explanation
    -----------
    Any node may receive tokens of an older version than the target reports.
    Only the holder of the pool's lease may order the target to load the
    version again, so the doubt is published to all nodes.

    Parameters
    ----------
    targets : TargetTable
        Targets whose doubts are published, and that doubts are applied to.
    gossip : Gossip
        Publishes this node's doubts and delivers those of others.
    timers : TimerService
        Clock that the expiry of doubts refers to.

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
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Start publishing new doubts and receiving those of others."""
        self._gossip.subscribe(_KIND, self._receive)
        self._periodic_call = self._timers.call_periodically(
            _PUBLISH_INTERVAL_SECONDS,
            self._publish_new,
        )

    async def close(self) -> None:
        """Stop publishing."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

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
        doubt = decode_msgpack(fact.body, VersionDoubt)
        self._targets.exclude(fact.key, doubt.address)
        for target in self._targets.list_all(HostKind.engine):
            if target.entry.name == fact.key:
                self._known_doubts[fact.key] = target.excluded_until
