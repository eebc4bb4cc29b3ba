"""In-process transports and nodes for tests and benchmarks."""

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Callable

from ladder_core.timeline import HybridClock, Timeline
from ladder_core.values import Lists
from ladder_node.peers import Gossip, PeerMember, PeerTransport
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
    def __init__(self, network, source_address, destination_address):
        self._network = network
        self.source_address = source_address
        self.destination_address = destination_address
        self.frames: asyncio.Queue[bytes] = asyncio.Queue(_QUEUE_FRAMES)
        self.remote_end = None

    def send(self, frame):
        self._network.frames[self.source_address] += 1
        self._network.bytes[self.source_address] += len(frame)
        pair = (self.source_address, self.destination_address)
        if pair in self._network.cut or self in self._network.silent:
            return
        if (
            self.remote_end is None
            or self.destination_address not in self._network.listeners
        ):
            return
        with contextlib.suppress(asyncio.QueueFull):
            self.remote_end.frames.put_nowait(frame)

    async def receive(self):
        return await self.frames.get()

    def close(self):
        if self.remote_end is not None:
            self.remote_end.remote_end = None


class FakeTransport(PeerTransport):
    def __init__(self, network, address):
        self._network = network
        self._address = address

    def connect(self, address):
        channel = FakeChannel(self._network, self._address, address)
        self._network.opened.append(channel)
        accept = self._network.listeners.get(address)
        if accept is not None:
            channel.remote_end = FakeChannel(
                self._network, address, self._address
            )
            channel.remote_end.remote_end = channel
            accept(channel.remote_end)
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
        self.timeline = Timeline(member.name, HybridClock(timers))
        self.gossip = Gossip(
            member,
            lambda: members,
            FakeTransport(network, member.address),
            self.source,
            timers,
            self.timeline,
        )
        self.source.announce = self.gossip.announce


def make_members(
    data_centre_count: int, nodes_per_data_centre: int
) -> list[PeerMember]:
    """Return members spread evenly over data centres."""
    return [
        PeerMember(
            f'region-{data_centre_index % 4}',
            f'dc-{data_centre_index}',
            f'node-{data_centre_index}-{index}',
            f'10.0.{data_centre_index}.{index}:1',
        )
        for data_centre_index in range(data_centre_count)
        for index in range(nodes_per_data_centre)
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
