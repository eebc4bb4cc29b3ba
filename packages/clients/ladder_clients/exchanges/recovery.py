"""Notice at once when a silent service responds again."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from ladder_core.supervision import Component
from ladder_core.timers import TimerService

_MIN_PAUSE_SECONDS = 0.1
# Part of the rate limit of a service that all nodes together probe it with.
_RATE_SHARE = 0.05


class RecoveryProbe(Component):
    """
    Ask a silent service again and again until it responds.

    Explanation
    -----------
    Calls to a silent service have long time-outs, so as not to load it if it
    is only slow. Those that were sent right before its return would therefore
    wait for long after it. Cheap calls with a short time-out notice the return.

    Parameters
    ----------
    ask : callable
        Sends a cheap call; returns whether it was answered in time.
    find_pause : callable
        Returns the seconds between two calls.
    timers : TimerService
        Sleep between the calls.

    """

    def __init__(
        self,
        ask: Callable[[], Awaitable[bool]],
        find_pause: Callable[[], float],
        timers: TimerService,
    ) -> None:
        self._ask = ask
        self._find_pause = find_pause
        self._timers = timers
        self._is_closed = False
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Do nothing; the calls begin when the service is silent."""

    async def close(self) -> None:
        """End the calls."""
        self._is_closed = True
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def begin(self) -> None:
        """Ask until the service responds, unless that is in progress."""
        if self._is_closed or (self._task and not self._task.done()):
            return
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while not await self._ask():
            await self._timers.sleep(self._find_pause())


def find_probe_pause(nodes: int, calls_per_second: float) -> float:
    """
    Return the pause between the probes of one node.

    Parameters
    ----------
    nodes : int
        Number of nodes that may probe the service at the same time.
    calls_per_second : float
        Rate limit of the service, for all nodes together.

    Returns
    -------
    float
        Pause in seconds.

    Examples
    --------
    >>> find_probe_pause(9, 2000)
    0.1
    >>> find_probe_pause(360, 16000)
    0.45

    """
    return max(nodes / (calls_per_second * _RATE_SHARE), _MIN_PAUSE_SECONDS)
