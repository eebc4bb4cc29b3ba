from ladder_core.supervision import Supervisor
from ladder_core.timers import ManualTimerService


async def test_failed_task_is_restarted_until_its_limit():
    timers = ManualTimerService()
    supervisor = Supervisor('root', timers, max_restarts=2)
    runs = []

    async def fail():
        runs.append(timers.now())
        raise RuntimeError('broken')

    supervisor.spawn('child', fail)
    await timers.advance(5)
    assert len(runs) == 3
    assert supervisor.has_failed
    await supervisor.close()


async def test_task_that_returns_is_not_restarted():
    timers = ManualTimerService()
    supervisor = Supervisor('root', timers)
    runs = []

    async def finish():
        runs.append(timers.now())

    supervisor.spawn('child', finish)
    await timers.advance(5)
    assert len(runs) == 1
    assert not supervisor.has_failed
    await supervisor.close()
