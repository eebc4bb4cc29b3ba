"""Probes of a silent service."""

import asyncio

import pytest

from ladder_clients.exchanges import RecoveryProbe, find_probe_pause
from ladder_core.timers import ManualTimerService

PAUSE_SECONDS = 0.2
STORE_READS_PER_SECOND = 16_000


class Service:
    """A service that is silent at first."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.asked = 0
        self.responds = False
        self.probe = RecoveryProbe(self.ask, lambda: PAUSE_SECONDS, self.timers)

    async def ask(self):
        self.asked += 1
        return self.responds

    async def advance(self, seconds):
        await self.timers.advance(seconds)
        for _ in range(5):
            await asyncio.sleep(0)


@pytest.fixture
async def service():
    made = Service()
    await made.probe.start()
    yield made
    await made.probe.close()


async def test_silent_service_is_asked_until_it_responds(service):
    service.probe.begin()
    await service.advance(0)
    for _ in range(4):
        await service.advance(PAUSE_SECONDS)
    assert service.asked == 5
    service.responds = True
    for _ in range(4):
        await service.advance(PAUSE_SECONDS)
    assert service.asked == 6


async def test_failures_of_many_calls_start_one_series(service):
    for _ in range(9):
        service.probe.begin()
    await service.advance(0)
    assert service.asked == 1


async def test_nothing_is_asked_after_the_close(service):
    service.probe.begin()
    await service.advance(0)
    await service.probe.close()
    service.probe.begin()
    await service.advance(PAUSE_SECONDS)
    assert service.asked == 1


@pytest.mark.parametrize('nodes', [9, 195, 361, 1000])
def test_probes_of_a_fleet_take_a_small_part_of_the_rate(nodes):
    pause = find_probe_pause(nodes, STORE_READS_PER_SECOND)
    assert nodes / pause <= STORE_READS_PER_SECOND / 20 + 1
