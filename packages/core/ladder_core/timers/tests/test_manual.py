from ladder_core.timers import ManualTimerService


async def test_callback_is_called_once_a_period():
    timers = ManualTimerService()
    calls = []

    async def record():
        calls.append(timers.now())

    periodic_call = timers.call_periodically(2, record)
    await timers.advance(5)
    await periodic_call.close()
    await timers.advance(5)
    assert calls == [2, 4]


async def test_failing_callback_is_called_again():
    timers = ManualTimerService()
    calls = []

    async def fail():
        calls.append(timers.now())
        raise ValueError('first failure')

    periodic_call = timers.call_periodically(1, fail)
    await timers.advance(2)
    await periodic_call.close()
    assert calls == [1, 2]
