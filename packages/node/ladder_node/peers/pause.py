"""Notice that this process stood still, and learn anew before going on."""

import asyncio
from collections.abc import Awaitable, Callable

from ladder_core.supervision import Service
from ladder_core.timeline import TimeLine
from ladder_core.timers import Subscription, TimerService

PAUSE_THRESHOLD_SECONDS = 2

_TICK_INTERVAL_SECONDS = 0.5

Refresh = Callable[[], Awaitable[object]]


class PauseGuard(Service):
    """
    Compare the clock with its own periodic ticks.

    Explanation
    -----------
    A process that was frozen knows the targets of the time before. The
    check is made on the clock, so it holds before any task has run again.

    Parameters
    ----------
    refreshes : tuple of Refresh
        Called together after a pause; they bound their own time.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes the pauses.

    """

    def __init__(
        self,
        refreshes: tuple[Refresh, ...],
        timers: TimerService,
        timeline: TimeLine,
    ) -> None:
        self._refreshes = refreshes
        self._timers = timers
        self._timeline = timeline
        self._last_tick_at = timers.now()
        self._lock = asyncio.Lock()
        self._subscription: Subscription | None = None

    @property
    def is_stale(self) -> bool:
        """Whether the process was paused and has not learnt anew since."""
        return self._timers.now() - self._last_tick_at > PAUSE_THRESHOLD_SECONDS

    async def start(self) -> None:
        """Begin to tick."""
        self._last_tick_at = self._timers.now()
        self._subscription = self._timers.subscribe(
            _TICK_INTERVAL_SECONDS,
            self._tick,
        )

    async def close(self) -> None:
        """End the ticks."""
        if self._subscription is not None:
            await self._subscription.close()
            self._subscription = None

    async def ensure_fresh(self) -> None:
        """Return at once, or after a pause when everything was read anew."""
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
        # A refresh that takes longer than a pause would never be the last.
        self._last_tick_at = max(
            started_at,
            self._timers.now() - PAUSE_THRESHOLD_SECONDS,
        )
