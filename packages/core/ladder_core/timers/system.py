"""Timer service that uses the clocks of the host."""

import asyncio
import time

from ladder_core.timers.base import TimerService

_MILLISECONDS_PER_SECOND = 1000


class SystemTimerService(TimerService):
    """
    Timer service that uses the clocks of the host.

    Notes
    -----
    ``CLOCK_BOOTTIME`` also advances while the host is suspended, so that a
    lease that expired during the suspension is seen as expired afterwards.

    """

    def now(self) -> float:
        """Return seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(max(seconds, 0))

    def wall_milliseconds(self) -> int:
        """Return the wall time in milliseconds since the Unix epoch."""
        return int(time.time() * _MILLISECONDS_PER_SECOND)
