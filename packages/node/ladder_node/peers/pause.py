"""Detection of pauses of the process, after which its state is refreshed."""

import asyncio
from collections.abc import Awaitable, Callable

from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import PeriodicCall, TimerService

PAUSE_THRESHOLD_SECONDS = 2

_TICK_INTERVAL_SECONDS = 0.5

Refresh = Callable[[], Awaitable[object]]


class PauseGuard(Component):
    """
    Detect pauses of the process, and refresh its state after one.

    Explanation
    -----------
    After a pause the process still has the targets of the time before it. A
    pause is detected by the time since the last periodic tick. The check
    reads the clock, so it works before any task has run again.

    Parameters
    ----------
    refreshes : tuple of Refresh
        Functions called concurrently after a pause; each limits its own
        duration.
    timers : TimerService
        Clock and schedule of the ticks.
    timeline : Timeline
        Records each pause with its length.

    """

    def __init__(
        self,
        refreshes: tuple[Refresh, ...],
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._refreshes = refreshes
        self._timers = timers
        self._timeline = timeline
        self._last_tick_at = timers.now()
        self._lock = asyncio.Lock()
        self._periodic_call: PeriodicCall | None = None

    @property
    def is_stale(self) -> bool:
        """Whether the process was paused and has not been refreshed since."""
        return self._timers.now() - self._last_tick_at > PAUSE_THRESHOLD_SECONDS

    async def start(self) -> None:
        """Start the periodic ticks."""
        self._last_tick_at = self._timers.now()
        self._periodic_call = self._timers.call_periodically(
            _TICK_INTERVAL_SECONDS,
            self._tick,
        )

    async def close(self) -> None:
        """Stop the periodic ticks."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    async def ensure_fresh(self) -> None:
        """Return at once, or wait for the refresh that follows a pause."""
        while self.is_stale:
            async with self._lock:
                await self._refresh()

    async def _tick(self) -> None:
        if self.is_stale:
            await self.ensure_fresh()
        else:
            self._last_tick_at = self._timers.now()

    async def _refresh(self) -> None:
        if not self.is_stale:
            return
        started_at = self._timers.now()
        seconds = round(started_at - self._last_tick_at, 1)
        self._timeline.record('process-paused', 'process', seconds=seconds)
        await asyncio.gather(*(refresh() for refresh in self._refreshes))
        # The time of a refresh does not count as another pause; otherwise a
        # refresh longer than the threshold would be repeated forever.
        self._last_tick_at = max(
            started_at,
            self._timers.now() - PAUSE_THRESHOLD_SECONDS,
        )
