"""Wake tasks that wait for a change."""

import asyncio

from ladder_core.timers import TimerService


class ChangeNotifier:
    """
    A change that any number of tasks wait for, each with a time limit.

    Parameters
    ----------
    timers : TimerService
        Source of time.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, seconds: float) -> None:
        """
        Wait for the next change.

        Parameters
        ----------
        seconds : float
            Longest time to wait.

        """
        waits = (
            asyncio.create_task(self._event.wait()),
            asyncio.create_task(self._timers.sleep(seconds)),
        )
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in waits:
                task.cancel()
            await asyncio.gather(*waits, return_exceptions=True)
