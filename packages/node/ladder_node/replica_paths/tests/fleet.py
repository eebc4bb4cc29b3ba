"""Nodes that compare their paths to replicas in one process."""

import msgspec

from ladder_clients.exchanges import ConnectionPool
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import SystemTimerService
from ladder_core.values import Replica
from ladder_node.members import Member
from ladder_node.replica_paths import PathSender, make_path_parts
from ladder_node.replicas import ReplicaRegistry
from ladder_standins.scripted import ScriptedTarget, format_response
from ladder_standins.tcp_proxy import TcpProxy

SERVICES = ('taproom', 'brewmind')
REPLICAS_PER_SERVICE = 2


async def answer(request, writer):
    writer.write(format_response(b'whole'))
    await writer.drain()


class DirectSender(PathSender):
    """Calls the other node in this process; a node that is down is silent."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def send(self, address, message):
        node = self.fleet.nodes.get(address)
        return await node.parts.comparer.answer(message) if node else None


class PathNode:
    """A node that reaches each replica through a proxy of its own."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.timers = SystemTimerService()
        self.timeline = Timeline(name, HybridClock(self.timers))
        self.registry = ReplicaRegistry(self.timers, self.timeline)
        self.pool = ConnectionPool(self.timers)
        self.proxies = []
        self.own = Member(name, '', name[0], '', '', peer_address=name)
        self.parts = make_path_parts(
            self.own,
            fleet.list_members,
            self.pool,
            self.registry,
            DirectSender(fleet),
            self.timers,
            self.timeline,
        )
        self.paths = self.parts.paths

    async def start(self):
        for target in self.fleet.targets:
            proxy = TcpProxy(target.address)
            await proxy.start()
            self.proxies.append(proxy)
        self.registry.replace(self.list_replicas(), 0)
        await self.pool.start()
        await self.paths.start()

    async def close(self):
        await self.paths.close()
        await self.pool.close()
        for proxy in self.proxies:
            await proxy.close()

    def list_replicas(self):
        return [
            Replica(
                f'r{number}',
                SERVICES[number // REPLICAS_PER_SERVICE],
                proxy.address,
                'leith',
                8,
                started_at=5,
            )
            for number, proxy in enumerate(self.proxies)
        ]

    def list_kinds(self):
        return [one.kind for one in self.timeline.read(HybridTime(), 999)]


class PathFleet:
    """Nodes before the replicas of two services."""

    def __init__(self, count):
        replicas = REPLICAS_PER_SERVICE * len(SERVICES)
        self.targets = [
            ScriptedTarget(answer, keeps_connections=True)
            for _ in range(replicas)
        ]
        self.nodes = {}
        for number in range(count):
            name = f'{"ab"[number % 2]}{number}'
            self.nodes[name] = PathNode(self, name)

    async def start(self):
        for target in self.targets:
            await target.start()
        for node in self.nodes.values():
            await node.start()

    async def close(self):
        for node in self.nodes.values():
            await node.close()
        for target in self.targets:
            await target.close()

    def list_members(self):
        return [
            msgspec.structs.replace(
                node.own, lost_services=node.paths.list_lost()
            )
            for node in self.nodes.values()
        ]
