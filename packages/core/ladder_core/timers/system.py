"""The timer service over the clocks of the host."""

import asyncio
import time

from ladder_core.timers.base import TimerService

_MILLISECONDS_PER_SECOND = 1000


class SystemTimerService(TimerService):
    """
    Time of the host.

    Notes
    -----
    ``CLOCK_BOOTTIME`` goes on while a host is suspended, so a lease that ran
    out during a suspension is seen as expired after it.

    """

    def now(self) -> float:
        """Return seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(max(seconds, 0))

    def wall_milliseconds(self) -> int:
        """Return milliseconds since the epoch."""
        return int(time.time() * _MILLISECONDS_PER_SECOND)
