"""Gossip of facts and of the configuration among the nodes."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import partial

import msgspec
from loguru import logger

from ladder_core.supervision import Component, Supervisor
from ladder_core.timeline import Timeline
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.peers import messages
from ladder_node.peers.facts import Fact, FactTable
from ladder_node.peers.link import PeerLink
from ladder_node.peers.members import PeerMember, choose_peers
from ladder_node.peers.metrics import CONNECTIONS, SILENT_CONNECTIONS
from ladder_node.peers.protocol import GossipProtocol
from ladder_node.peers.source import ListsSource
from ladder_node.peers.transport import Channel, PeerTransport

FactCallback = Callable[[Fact], None]
MemberLister = Callable[[], Iterable[PeerMember]]

_UPDATE_INTERVAL_SECONDS = 1
_EXCLUSION_SECONDS = 10
_MAX_LINKS = 64
_MAX_CONNECTION_ATTEMPTS = 2
_REFRESH_POLL_INTERVAL_SECONDS = 0.2


class Gossip(Component):
    """
    Maintain connections to a few peers and exchange new facts over them.

    Parameters
    ----------
    local_member : PeerMember
        The local node, the origin of published facts.
    list_members : MemberLister
        Returns the known nodes, from which peers are chosen.
    transport : PeerTransport
        Opens and accepts connections; closed together with the gossip.
    source : ListsSource
        Holds the configuration in force and accepts newer ones.
    timers : TimerService
        Clock and periodic calls.
    timeline : Timeline
        Records events; its clock observes the stamps of peers.

    """

    def __init__(
        self,
        local_member: PeerMember,
        list_members: MemberLister,
        transport: PeerTransport,
        source: ListsSource,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._local_member = local_member
        self._list_members = list_members
        self._transport = transport
        self._timers = timers
        self._timeline = timeline
        self._facts = FactTable(timers)
        self._protocol = GossipProtocol(
            local_member,
            self._facts,
            source,
            timeline.clock,
            timers,
            self._forward,
        )
        self._callbacks: dict[str, list[FactCallback]] = defaultdict(list)
        self._links: set[PeerLink] = set()
        self._excluded_until: dict[str, float] = {}
        self._supervisor = Supervisor('peers', timers)
        self._outgoing: dict[str, PeerMember] = {}
        self._periodic_call: PeriodicCall | None = None

    @property
    def peers(self) -> tuple[str, ...]:
        """Sorted names of the peers with a connection that is not silent."""
        heard = {link.peer for link in self._links if not link.is_silent}
        return tuple(sorted(heard - {''}))

    async def start(self) -> None:
        """Accept connections, and connect to the chosen peers."""
        await self._transport.listen(self._accept)
        await self._update_connections()
        self._periodic_call = self._timers.call_periodically(
            _UPDATE_INTERVAL_SECONDS,
            self._update_connections,
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None
        await self._supervisor.close()
        await self._transport.close()

    def publish(self, fact: Fact) -> None:
        """
        Send a fact to all nodes, or to those of this data centre.

        Parameters
        ----------
        fact : Fact
            The fact, whose stamp and origin are set here. The subscribers of
            this node are called with it too.

        """
        stamped = msgspec.structs.replace(
            fact,
            stamp=self._timeline.clock.tick(),
            origin=self._local_member.name,
        )
        if self._facts.merge(stamped):
            self._forward(stamped, None)

    def subscribe(self, kind: str, callback: FactCallback) -> None:
        """
        Register a callback for new facts of a kind.

        Parameters
        ----------
        kind : str
            Kind of the facts to be called with.
        callback : FactCallback
            Function that must not block. It is called at once with the facts
            that are known already.

        """
        self._callbacks[kind].append(callback)
        for fact in self._facts.list_kind(kind):
            callback(fact)

    def list_facts(self, kind: str) -> list[Fact]:
        """Return the facts of a kind that have not expired."""
        return self._facts.list_kind(kind)

    def announce(self) -> None:
        """Send heartbeats soon, because the configuration has changed."""
        for link in self._links:
            link.flush_soon()

    async def refresh(self, timeout_seconds: float) -> bool:
        """
        Request missing facts from all connected peers.

        Parameters
        ----------
        timeout_seconds : float
            Seconds to wait for the first response of a peer.

        Returns
        -------
        bool
            Whether a peer answered in time.

        """
        answered_summaries = self._protocol.answered_summaries
        deadline = self._timers.now() + timeout_seconds
        while self._protocol.answered_summaries == answered_summaries:
            if self._timers.now() >= deadline:
                return False
            # Silent connections are replaced meanwhile, so each round includes
            # the new ones.
            for link in self._links:
                link.send(self._protocol.make_summary())
            await self._timers.sleep(_REFRESH_POLL_INTERVAL_SECONDS)
        return True

    async def _update_connections(self) -> None:
        """Connect to newly chosen peers and disconnect from all others."""
        self._facts.expire()
        now = self._timers.now()
        others = [
            member
            for member in self._list_members()
            if member.name != self._local_member.name
            and self._excluded_until.get(member.name, 0) <= now
        ]
        wanted = {
            peer.name: peer for peer in choose_peers(self._local_member, others)
        }
        for name, member in tuple(self._outgoing.items()):
            if wanted.get(name) != member:
                self._outgoing.pop(name)
                await self._supervisor.stop(name)
        for name in wanted.keys() - self._outgoing.keys():
            self._outgoing[name] = wanted[name]
            self._supervisor.spawn(
                name,
                partial(self._maintain_link, wanted[name]),
            )
        CONNECTIONS.set(len(self._links))

    async def _maintain_link(self, member: PeerMember) -> None:
        """
        Keep a connection to a chosen peer, and replace it when it is silent.

        Explanation
        -----------
        After too many silent connections the peer is excluded for a while.

        """
        for _ in range(_MAX_CONNECTION_ATTEMPTS):
            channel = self._transport.connect(member.address)
            # A node that has just joined gets all facts in the response to its
            # summary.
            channel.send(messages.encode(self._protocol.make_summary()))
            await self._run_link(channel)
            SILENT_CONNECTIONS.inc()
            self._timeline.record('peer-silent', member.name)
        self._outgoing.pop(member.name, None)
        self._excluded_until[member.name] = (
            self._timers.now() + _EXCLUSION_SECONDS
        )

    def _accept(self, channel: Channel) -> None:
        if len(self._links) >= _MAX_LINKS:
            channel.close()
            return
        self._supervisor.spawn(
            f'incoming-{id(channel)}',
            lambda: self._run_link(channel),
        )

    async def _run_link(self, channel: Channel) -> None:
        """Exchange messages over a connection until it falls silent."""
        link = PeerLink(channel, self._timers, self._protocol.make_push)
        self._links.add(link)
        reader = asyncio.create_task(self._read(link))
        try:
            await link.run_sender()
        finally:
            await self._end_link(link, reader)

    async def _end_link(
        self,
        link: PeerLink,
        reader: asyncio.Task[None],
    ) -> None:
        self._links.discard(link)
        reader.cancel()
        await asyncio.gather(reader, return_exceptions=True)
        link.close()

    async def _read(self, link: PeerLink) -> None:
        while not link.is_silent:
            try:
                message = await link.receive()
            except msgspec.DecodeError as error:
                logger.warning('malformed frame of a peer ignored: {}', error)
                continue
            if message is not None:
                self._protocol.handle(link, message)

    def _forward(self, fact: Fact, source: PeerLink | None) -> None:
        """Forward a new fact to the other peers and the local subscribers."""
        for link in self._links:
            is_near = link.data_centre in {'', self._local_member.data_centre}
            if link is not source and (fact.is_fleet_wide or is_near):
                link.enqueue(fact)
        for callback in self._callbacks[fact.kind]:
            callback(fact)
