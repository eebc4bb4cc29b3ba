"""In-process transports and nodes for tests and benchmarks."""

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Callable

from ladder_core.timeline import HybridClock, TimeLine
from ladder_core.values import Lists
from ladder_node.peers import Gossip, Member, PeerTransport
from ladder_node.peers.source import ListsSource
from ladder_node.peers.transport import AcceptCallback, Channel

_QUEUE_FRAMES = 256


class Network:
    """
    Network between in-process nodes that counts frames and can lose them.

    Attributes
    ----------
    cut : set of tuple
        Ordered pairs of addresses between which frames are lost.
    silent : set of Channel
        Channels that lose every frame, while new channels work.

    """

    def __init__(self):
        self.listeners = {}
        self.cut = set()
        self.silent = set()
        self.frames = defaultdict(int)
        self.bytes = defaultdict(int)
        self.opened = []


class FakeChannel(Channel):
    def __init__(self, network, here, there):
        self._network = network
        self.here = here
        self.there = there
        self.frames: asyncio.Queue[bytes] = asyncio.Queue(_QUEUE_FRAMES)
        self.other = None

    def send(self, frame):
        self._network.frames[self.here] += 1
        self._network.bytes[self.here] += len(frame)
        pair = (self.here, self.there)
        if pair in self._network.cut or self in self._network.silent:
            return
        if self.other is None or self.there not in self._network.listeners:
            return
        with contextlib.suppress(asyncio.QueueFull):
            self.other.frames.put_nowait(frame)

    async def receive(self):
        return await self.frames.get()

    def close(self):
        if self.other is not None:
            self.other.other = None


class FakeTransport(PeerTransport):
    def __init__(self, network, address):
        self._network = network
        self._address = address

    def connect(self, address):
        channel = FakeChannel(self._network, self._address, address)
        self._network.opened.append(channel)
        accept = self._network.listeners.get(address)
        if accept is not None:
            channel.other = FakeChannel(self._network, address, self._address)
            channel.other.other = channel
            accept(channel.other)
        return channel

    async def listen(self, accept: AcceptCallback):
        self._network.listeners[self._address] = accept

    async def close(self):
        self._network.listeners.pop(self._address, None)


class FakeSource(ListsSource):
    """Source whose lists come from peers only."""

    def __init__(self, lists=None):
        self.lists = lists
        self.confirmed = []
        self.announce: Callable[[], object] = bool

    @property
    def known_lists(self):
        return self.lists

    @property
    def is_fresh(self):
        return True

    def offer(self, lists: Lists) -> None:
        if self.lists is None or lists.revision > self.lists.revision:
            self.lists = lists
            self.announce()

    def confirm(self, peer, revision):
        self.confirmed.append((peer, revision))


class FakeNode:
    """A node that takes part in the gossip over a network."""

    def __init__(self, network, member, members, timers):
        self.member = member
        self.source = FakeSource(Lists(revision=1))
        self.timeline = TimeLine(member.name, HybridClock(timers))
        self.gossip = Gossip(
            member,
            lambda: members,
            FakeTransport(network, member.address),
            self.source,
            timers,
            self.timeline,
        )
        self.source.announce = self.gossip.announce


def make_members(centres: int, per_centre: int) -> list[Member]:
    """Return members spread evenly over data centres."""
    return [
        Member(
            f'region-{centre % 4}',
            f'dc-{centre}',
            f'node-{centre}-{index}',
            f'10.0.{centre}.{index}:1',
        )
        for centre in range(centres)
        for index in range(per_centre)
    ]


@contextlib.asynccontextmanager
async def run_nodes(timers, members):
    """Run gossip nodes; yield the network and the nodes by name."""
    network = Network()
    nodes = {
        member.name: FakeNode(network, member, members, timers)
        for member in members
    }
    for node in nodes.values():
        await node.gossip.start()
    try:
        yield network, nodes
    finally:
        for node in nodes.values():
            await node.gossip.close()
