"""Wake the tasks that wait for a change."""

import asyncio

from ladder_core.timers import TimerService


class ChangeNotifier:
    """
    Notify any number of waiting tasks; each waits with its own time-out.

    Parameters
    ----------
    timers : TimerService
        Clock, delays and periodic callbacks.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, seconds: float) -> None:
        """
        Wait for the next change.

        Parameters
        ----------
        seconds : float
            Seconds to wait at most; then the call returns in any case.

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
