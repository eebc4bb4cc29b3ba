"""Directory of the other nodes, from the host list and from gossip."""

from collections.abc import Callable

import msgspec

from ladder_core.messages import decode_msgpack
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import PeriodicCall, TimerService
from ladder_core.values import HostEntry
from ladder_node.peers.facts import Fact, FactKind
from ladder_node.peers.gossip import Gossip
from ladder_node.peers.members import PeerMember

_PUBLISH_INTERVAL_SECONDS = 10
_NODE_TTL_SECONDS = 30
_LEAVING_TTL_SECONDS = 600

HostLister = Callable[[], tuple[HostEntry, ...]]


class NodeState(msgspec.Struct, frozen=True, array_like=True):
    """
    Body of a fact about a node.

    Attributes
    ----------
    region, data_centre : str
        Location of the node.
    peer_address : str
        ``ip:port`` at which the node accepts connections of peers.
    requests : int
        Number of requests in progress at the node.

    """

    region: str
    data_centre: str
    peer_address: str
    requests: int


class LeavingState(msgspec.Struct, frozen=True, array_like=True):
    """
    Body of a fact about a node that is leaving, or has come back.

    Attributes
    ----------
    is_leaving : bool
        False if the node was started again under the same name.

    """

    is_leaving: bool


class NodeDirectory(Component):
    """
    Track the other nodes by the host list and by the facts they publish.

    Parameters
    ----------
    local_member : PeerMember
        The local node, which the directory publishes.
    list_hosts : HostLister
        Returns the entry hosts on the platform's host list.
    timers : TimerService
        Schedules the publication of this node.
    timeline : Timeline
        Records nodes that are found or are leaving.

    """

    def __init__(
        self,
        local_member: PeerMember,
        list_hosts: HostLister,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._local_member = local_member
        self._list_hosts = list_hosts
        self._timers = timers
        self._timeline = timeline
        self._gossip: Gossip | None = None
        self._leaving: set[str] = set()
        self._nodes: dict[str, PeerMember] = {}
        self._is_leaving = False
        self._count_requests: Callable[[], int] = int
        self._periodic_call: PeriodicCall | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether this node is leaving."""
        return self._is_leaving

    @property
    def entry_hosts(self) -> tuple[HostEntry, ...]:
        """The entry hosts that callers may be directed to."""
        listed = self._list_hosts()
        staying = tuple(entry for entry in listed if self._is_staying(entry))
        # If all of them are leaving, a leaving host is better than none.
        return staying or listed

    def attach(self, gossip: Gossip, count_requests: Callable[[], int]) -> None:
        """Set the gossip, and the function that counts requests in progress."""
        self._gossip = gossip
        self._count_requests = count_requests

    async def start(self) -> None:
        """Publish this node periodically, and subscribe to facts of others."""
        gossip = self._require_gossip()
        gossip.subscribe(FactKind.node, self._handle_node)
        gossip.subscribe(FactKind.node_leaving, self._handle_leaving)
        await self._publish()
        self._periodic_call = self._timers.call_periodically(
            _PUBLISH_INTERVAL_SECONDS,
            self._publish,
        )

    async def close(self) -> None:
        """Stop the periodic publication."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    def list_members(self) -> list[PeerMember]:
        """Return the nodes that may be chosen as peers."""
        listed = [
            PeerMember(
                entry.region,
                entry.data_centre,
                entry.name,
                entry.peer_address,
            )
            for entry in self._list_hosts()
            if entry.peer_address
        ]
        members = {member.name: member for member in listed}
        if self._gossip is not None:
            for fact in self._gossip.list_facts(FactKind.node):
                members.setdefault(fact.key, _read_member(fact))
        return list(members.values())

    def leave(self) -> None:
        """Publish that this node is leaving, so that callers avoid it."""
        self._is_leaving = True
        self._publish_leaving()

    async def _publish(self) -> None:
        state = NodeState(
            self._local_member.region,
            self._local_member.data_centre,
            self._local_member.address,
            self._count_requests(),
        )
        self._require_gossip().publish(
            Fact(
                FactKind.node,
                self._local_member.name,
                _NODE_TTL_SECONDS,
                msgspec.msgpack.encode(state),
                is_lasting=False,
                is_fleet_wide=False,
            ),
        )

    def _publish_leaving(self) -> None:
        self._require_gossip().publish(
            Fact(
                FactKind.node_leaving,
                self._local_member.name,
                _LEAVING_TTL_SECONDS,
                msgspec.msgpack.encode(LeavingState(self._is_leaving)),
            ),
        )

    def _is_staying(self, entry: HostEntry) -> bool:
        if entry.name == self._local_member.name:
            return not self._is_leaving
        return entry.name not in self._leaving

    def _handle_leaving(self, fact: Fact) -> None:
        state = decode_msgpack(fact.body, LeavingState)
        if fact.key == self._local_member.name:
            # The fact may stem from the previous process of this node, which
            # had the same name; it is replaced by a newer one.
            if state.is_leaving and not self._is_leaving:
                self._publish_leaving()
        elif state.is_leaving:
            self._leaving.add(fact.key)
            self._timeline.record('node-leaving', fact.key)
        else:
            self._leaving.discard(fact.key)

    def _handle_node(self, fact: Fact) -> None:
        if fact.key not in self._nodes:
            self._timeline.record('node-found', fact.key)
        self._nodes[fact.key] = _read_member(fact)

    def _require_gossip(self) -> Gossip:
        if self._gossip is None:
            raise RuntimeError(
                'attach() must be called before the node directory starts',
            )
        return self._gossip


def _read_member(fact: Fact) -> PeerMember:
    state = decode_msgpack(fact.body, NodeState)
    return PeerMember(
        state.region,
        state.data_centre,
        fact.key,
        state.peer_address,
    )
