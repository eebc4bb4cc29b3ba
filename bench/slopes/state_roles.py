"""Roles of a node that keep state up to date."""

import asyncio
import contextlib
from dataclasses import replace

import msgspec

from bench.slopes.probe import NodeProbe
from bench.slopes.role import Role, Scale
from bench.slopes.usage import Usage
from ladder_clients.table import Transaction, Write
from ladder_core.values import Allowance, Lists, Plan

_WINDOW_SECONDS = 4
_GOSSIP_WINDOW_SECONDS = 11
_LISTED_PLANS = 100
_HASH_DIGITS = 64
_FIRST_REVISION = 1000


class MembershipRole(Role):
    """Tracking of the entry hosts in the host list."""

    title = 'membership'
    scale = Scale('peers listed', (20, 100, 200), 359)

    async def measure(self, size: float) -> Usage:
        """Add entry hosts up to a size and return the usage."""
        for number in range(int(size)):
            await self._probe.list_peer(f'peer-{number}')
        return await self._probe.measure(_WINDOW_SECONDS)


class GossipRole(Role):
    """
    Gossip with other nodes.

    Notes
    -----
    With up to three other nodes in the data centre, each of them adds a
    connection in each direction. Therefore, the number of other nodes
    represents the number of connections at the target.

    """

    title = 'gossip'
    scale = Scale('connections out and in', (1, 2, 3), 7)

    async def measure(self, size: float) -> Usage:
        """Start nodes up to a size and return the usage of the first one."""
        usage = await self._measure_nodes(size)
        # Reads, writes and control bytes also count the other nodes, which use
        # the same platform.
        return replace(
            usage,
            reads=0,
            writes=0,
            control_bytes=usage.peer_bytes,
        )

    async def _measure_nodes(self, size: float) -> Usage:
        running = self._probe.fleet.processes.names
        for number in range(int(size)):
            name = f'peer-{number}'
            if name not in running:
                await self._probe.start_peer(name)
        return await self._probe.measure(_GOSSIP_WINDOW_SECONDS)


class FleetRole(GossipRole):
    """Calls of the table service by all nodes."""

    title = 'fleet'
    scale = Scale('nodes beside the first', (1, 2, 3), 359)
    is_control = False

    async def measure(self, size: float) -> Usage:
        """Start nodes up to a size and count the calls of the table service."""
        usage = await self._measure_nodes(size)
        return Usage(reads=usage.reads, writes=usage.writes)


class PoolRole(Role):
    """Tracking of the replicas in the host list and of their states."""

    title = 'pool duty and router table'
    scale = Scale('replicas', (20, 60, 120), 1700)

    async def measure(self, size: float) -> Usage:
        """Add engines up to a size and return the usage."""
        for number in range(int(size)):
            await self._probe.list_engine(f'replica-{number}')
        return await self._probe.measure(_WINDOW_SECONDS)


class ConfigurationRole(Role):
    """Distribution of changes of the operators' lists."""

    title = 'configuration'
    scale = Scale('changes/s of lists of 100 plans', (0.5, 1, 2), 0.1)

    def __init__(self, probe: NodeProbe) -> None:
        super().__init__(probe)
        self._revision = _FIRST_REVISION

    async def measure(self, size: float) -> Usage:
        """Change the lists at a rate and return the usage."""
        task = asyncio.create_task(self._change_lists_repeatedly(1 / size))
        try:
            usage = await self._probe.measure(_WINDOW_SECONDS)
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        # The writes of the changes are traffic of the bench, not of the node.
        bench_bytes = size * len(
            msgspec.json.encode(_make_lists(self._revision))
        )
        return replace(
            usage,
            writes=0,
            control_bytes=usage.control_bytes - bench_bytes,
        )

    async def _change_lists_repeatedly(self, interval_seconds: float) -> None:
        while True:
            self._revision += 1
            body = msgspec.json.encode(_make_lists(self._revision)).decode()
            write = Write('configuration', 'lists', body)
            token = f'slopes-{self._revision}'
            await self._probe.fleet.controls.send(
                'table',
                'POST',
                '/v1/transactions',
                Transaction(token, (), (write,)),
            )
            await asyncio.sleep(interval_seconds)


def _make_lists(revision: int) -> Lists:
    names = [f'plan-{number}' for number in range(_LISTED_PLANS)]
    return Lists(
        revision=revision,
        plans=tuple(
            Plan(name, 'customer', name.zfill(_HASH_DIGITS)) for name in names
        ),
        allowances=tuple(Allowance(name, ('brewmind',)) for name in names),
    )
