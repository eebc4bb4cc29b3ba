"""Timer service for tests, which advance its time explicitly."""

import asyncio
import heapq
import itertools

from ladder_core.timers.base import TimerService

_MILLISECONDS_PER_SECOND = 1000
_SETTLE_ITERATIONS = 20


class ManualTimerService(TimerService):
    """Timer service whose time changes only in `advance`."""

    def __init__(self, start: float = 0) -> None:
        self._now = start
        self._sequence = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Event]] = []

    def now(self) -> float:
        """Return the start time plus the seconds advanced so far."""
        return self._now

    def wall_milliseconds(self) -> int:
        """Return the result of `now` in milliseconds."""
        return int(self._now * _MILLISECONDS_PER_SECOND)

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task until the time has advanced far enough."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        event = asyncio.Event()
        due = self._now + seconds
        heapq.heappush(self._sleepers, (due, next(self._sequence), event))
        await event.wait()

    async def advance(self, seconds: float) -> None:
        """
        Advance the time and wake the tasks that are due, in order of time.

        Parameters
        ----------
        seconds : float
            Seconds by which the time advances.

        """
        end = self._now + seconds
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, event = heapq.heappop(self._sleepers)
            self._now = max(self._now, due)
            event.set()
            await self.settle()
        self._now = end

    async def settle(self) -> None:
        """Let the tasks that can run do so until they wait again."""
        for _ in range(_SETTLE_ITERATIONS):
            await asyncio.sleep(0)
