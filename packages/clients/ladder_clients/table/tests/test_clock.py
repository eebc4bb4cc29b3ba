from ladder_clients.table import ServiceClock, Timestamp
from ladder_core.timers import ManualTimerService


async def test_clock_goes_on_between_responses():
    timers = ManualTimerService()
    clock = ServiceClock(timers)
    assert clock.estimate() is None
    clock.observe(51_230)
    await timers.advance(1.5)
    assert clock.estimate() == 52_730


async def test_latest_response_corrects_the_clock():
    timers = ManualTimerService()
    clock = ServiceClock(timers)
    clock.observe(51_230)
    await timers.advance(1.5)
    clock.observe(60_000)
    assert clock.estimate() == 60_000


def test_age_is_never_negative():
    assert not Timestamp(0, 5_000).find_age_seconds(Timestamp(0, 4_000))
