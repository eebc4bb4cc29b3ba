"""Gossip about targets that are leaving."""

import msgspec

from ladder_core.messages import decode_msgpack
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_core.values import HostKind
from ladder_node.peers.facts import Fact, FactKind
from ladder_node.peers.gossip import Gossip
from ladder_node.targets import Target, TargetTable

_RECONCILE_INTERVAL_SECONDS = 0.5
# Many times longer than the platform's list of hosts lags behind.
_LEAVING_TTL_SECONDS = 600


class LeavingTarget(msgspec.Struct, frozen=True, array_like=True):
    """
    Body of a fact about a leaving target.

    Attributes
    ----------
    address : str
        Address, which differs for a later target of the same name.

    """

    address: str


class LeavingTargets(Component):
    """
    Publish the leaving targets known here; mark those that others publish.

    Explanation
    -----------
    The target table and the facts are reconciled periodically. The platform's
    list of hosts lags, so a target may appear in it only after the fact that
    it is leaving; it is then marked too.

    Parameters
    ----------
    targets : TargetTable
        Targets of this node, in which leaving ones are marked.
    gossip : Gossip
        Publishes and receives the facts.
    timers : TimerService
        Schedules the reconciliation.

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
        self._leaving_addresses: dict[str, str] = {}
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Subscribe to the facts and start the periodic reconciliation."""
        self._gossip.subscribe(FactKind.target_leaving, self._handle_fact)
        self._periodic_call = self._timers.call_periodically(
            _RECONCILE_INTERVAL_SECONDS,
            self._reconcile,
        )

    async def close(self) -> None:
        """Stop the periodic reconciliation."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    def _handle_fact(self, fact: Fact) -> None:
        state = decode_msgpack(fact.body, LeavingTarget)
        self._leaving_addresses[fact.key] = state.address
        for target in self._list_targets():
            if target.entry.name == fact.key:
                self._mark_if_leaving(target)

    async def _reconcile(self) -> None:
        targets = self._list_targets()
        for target in targets:
            if target.is_leaving:
                self._publish(target)
            else:
                self._mark_if_leaving(target)
        facts = self._gossip.list_facts(FactKind.target_leaving)
        held = {fact.key for fact in facts}
        self._leaving_addresses = {
            name: address
            for name, address in self._leaving_addresses.items()
            if name in held
        }

    def _publish(self, target: Target) -> None:
        name, address = target.entry.name, target.entry.address
        if self._leaving_addresses.get(name) == address:
            return
        self._leaving_addresses[name] = address
        body = msgspec.msgpack.encode(LeavingTarget(address))
        kind = FactKind.target_leaving
        self._gossip.publish(Fact(kind, name, _LEAVING_TTL_SECONDS, body))

    def _mark_if_leaving(self, target: Target) -> None:
        if (
            self._leaving_addresses.get(target.entry.name)
            == target.entry.address
        ):
            self._targets.mark_leaving(target.entry.name)

    def _list_targets(self) -> list[Target]:
        return [
            target
            for kind in HostKind
            if kind is not HostKind.entry
            for target in self._targets.list_all(kind)
        ]
