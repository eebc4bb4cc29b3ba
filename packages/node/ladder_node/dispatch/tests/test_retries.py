import asyncio

import pytest

from ladder_clients.engines import Chunk, EngineClient
from ladder_clients.services import ServiceClient, ServiceRequest
from ladder_core.errors import DeadlineError, TargetLostError
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind
from ladder_node.dispatch import (
    BudgetedRetries,
    Generation,
    GenerationDispatcher,
    ServiceDispatcher,
    UnlimitedRetries,
)
from ladder_node.targets import TargetTable
from ladder_policy.routing import RoundRobinChooser

REQUESTS = 400


class SkippingTimers(ManualTimerService):
    """A clock that a sleep advances at once."""

    async def sleep(self, seconds):
        self._now += seconds


def make_targets(timers, kind, count):
    targets = TargetTable(timers, Timeline('node', HybridClock(timers)))
    targets.update_hosts(
        HostEntry(f't-{index}', kind, 'a:1', 'd', 'r', model='m')
        for index in range(count)
    )
    return targets


class BrokenService(ServiceClient):
    """Loses the response of every call."""

    def __init__(self):
        self.attempts = 0

    async def call(self, address, request):
        self.attempts += 1
        raise TargetLostError('lost', remedy='none')


async def count_attempts(make_retries):
    timers = ManualTimerService()
    targets = make_targets(timers, HostKind.service, 4 * REQUESTS)
    service = BrokenService()
    dispatcher = ServiceDispatcher(
        targets,
        service,
        retries=make_retries(timers),
    )
    calls = [
        asyncio.create_task(
            dispatcher.call('', ServiceRequest('r', 'GET', '/'))
        )
        for _ in range(REQUESTS)
    ]
    while not all(call.done() for call in calls):
        await timers.advance(1)
    errors = [call.exception() for call in calls]
    assert all(isinstance(error, TargetLostError) for error in errors)
    return service.attempts, timers.now()


async def test_retries_are_a_share_of_the_requests():
    attempts, seconds = await count_attempts(BudgetedRetries)
    assert attempts <= 1.2 * REQUESTS + 20 + 2 * seconds
    assert attempts < 4 * REQUESTS


async def test_unlimited_retries_multiply_a_fault():
    attempts, _ = await count_attempts(lambda _: UnlimitedRetries())
    assert attempts == 4 * REQUESTS


class SlowEngines(EngineClient):
    """Generates one token per second without end."""

    def __init__(self, timers):
        self.timers = timers
        self.cancelled = []

    async def generate(self, address, request):
        while True:
            await self.timers.sleep(1)
            yield Chunk(request.request_id, 'a', 1)

    async def cancel(self, address, request_id):
        self.cancelled.append(request_id)

    async def read_state(self, address):
        raise NotImplementedError

    async def order(self, address, order):
        raise NotImplementedError


async def test_generation_ends_at_its_deadline():
    timers = SkippingTimers()
    engines = SlowEngines(timers)
    dispatcher = GenerationDispatcher(
        make_targets(timers, HostKind.engine, 2),
        engines,
        RoundRobinChooser(),
        timers,
    )
    wanted = Generation('m', ('',), (), 'prompt', 100, deadline=5)
    chunks = []
    with pytest.raises(DeadlineError):
        async for chunk in dispatcher.generate(wanted):
            chunks.append(chunk)
    await dispatcher.close()
    assert len(chunks) == 5
    assert len(engines.cancelled) == 1
