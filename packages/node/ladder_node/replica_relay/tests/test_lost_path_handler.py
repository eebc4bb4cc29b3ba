"""
Guards against exchanges that end, or live on, wrongly when a path is lost.

What ends may be repeated elsewhere, so it must not be what may run only once,
nor a connection over which nothing was sent yet.
"""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from ladder_clients.exchanges import (
    BrokenPathError,
    ConnectionPool,
    OutgoingRequest,
    Timeouts,
    UnreachableError,
)
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import SystemTimerService
from ladder_core.values import Replica
from ladder_node.replica_paths import ReplicaPaths
from ladder_node.replica_relay import LostPathHandler
from ladder_node.replicas import ReplicaRegistry
from ladder_standins.scripted import ScriptedTarget, format_response
from ladder_standins.tcp_proxy import PathLoss, TcpProxy

GET = OutgoingRequest(b'GET', b'/', ((b'Host', b'pub'),))


async def answer_late(request, writer):
    await asyncio.sleep(0.5)
    writer.write(format_response(b'whole'))
    await writer.drain()


class Harness:
    def __init__(self):
        timers = SystemTimerService()
        timeline = Timeline('a', HybridClock(timers))
        self.pool = ConnectionPool(timers)
        self.registry = ReplicaRegistry(timers, timeline)
        self.target = ScriptedTarget(answer_late, keeps_connections=True)
        self.lost: list[str] = []
        self.is_silent = True
        self.handler = LostPathHandler(
            self.pool,
            self.registry,
            cast(
                ReplicaPaths,
                SimpleNamespace(
                    list_lost=lambda: self.lost, find_path=self.find_path
                ),
            ),
            timeline,
        )

    @property
    def record(self):
        return self.registry.find('r')

    def find_path(self, service):
        return SimpleNamespace(is_silent=self.is_silent)

    async def start(self):
        await self.target.start()
        self.proxy = TcpProxy(self.target.address)
        await self.proxy.start()
        self.registry.replace(
            [Replica('r', 'app', self.proxy.address, 'a', 8, started_at=5)], 0
        )

    async def close(self):
        await self.pool.close()
        await self.proxy.close()
        await self.target.close()

    async def fetch(self, connect_seconds=0.5, **options):
        async with self.pool.exchange(
            self.proxy.address, GET, Timeouts(2, 2, connect_seconds), **options
        ) as response:
            return await response.read()

    async def lose_while(self, request):
        """Lose the path while a request waits, and return its outcome."""
        await asyncio.sleep(0.1)
        self.lost.append('app')
        self.handler.update()
        return await request


@pytest.fixture
async def harness():
    made = Harness()
    await made.start()
    yield made
    await made.close()


async def test_request_that_may_be_repeated_ends_at_once(harness):
    request = asyncio.create_task(harness.fetch())
    with pytest.raises(BrokenPathError):
        await harness.lose_while(request)


async def test_request_that_runs_once_is_waited_for(harness):
    request = asyncio.create_task(harness.fetch(needs_new_connection=True))
    assert await harness.lose_while(request) == b'whole'


async def test_request_on_a_path_that_refuses_is_waited_for(harness):
    """Guards against answers that are lost on connections that live on."""
    harness.is_silent = False
    request = asyncio.create_task(harness.fetch())
    assert await harness.lose_while(request) == b'whole'


async def test_idle_connections_of_a_silent_path_are_not_used_again(harness):
    assert await harness.fetch() == b'whole'
    harness.lost.append('app')
    harness.handler.update()
    assert harness.pool.count_idle(harness.proxy.address) == 0


@pytest.mark.parametrize('runs_once', [True, False])
async def test_connection_that_is_being_made_was_not_used(harness, runs_once):
    """Guards against a request that is called run although it was not sent."""
    await harness.proxy.strand(PathLoss.hang)
    request = asyncio.create_task(harness.fetch(needs_new_connection=runs_once))
    with pytest.raises(UnreachableError):
        await harness.lose_while(request)


async def test_connection_that_is_made_after_the_loss_is_used(harness):
    await harness.proxy.strand(PathLoss.hang)
    request = asyncio.create_task(harness.fetch(connect_seconds=3))
    await asyncio.sleep(0.1)
    harness.lost.append('app')
    harness.handler.update()
    await harness.proxy.restore_path()
    assert await request == b'whole'


async def test_failures_of_the_path_are_not_held_against_the_replica(harness):
    for _ in range(3):
        harness.record.record_failure(0, is_unreachable=True)
    assert not harness.record.allows(0)
    harness.lost.append('app')
    harness.handler.update()
    assert harness.record.allows(0)
    assert harness.record.is_healthy(0)
