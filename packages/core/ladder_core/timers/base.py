"""Interface of timer services, and their periodic calls."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from loguru import logger

Callback = Callable[[], Awaitable[None]]


class PeriodicCall:
    """
    Task that calls a callback periodically until it is closed.

    Parameters
    ----------
    timers : TimerService
        Source of time; the task sleeps on it between two calls.
    period_seconds : float
        Seconds between the end of one call and the start of the next.
    callback : Callback
        Coroutine function that is called. An exception is logged and does
        not end the periodic calls.

    """

    def __init__(
        self,
        timers: 'TimerService',
        period_seconds: float,
        callback: Callback,
    ) -> None:
        self._timers = timers
        self._period_seconds = period_seconds
        self._callback = callback
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Cancel the task and any call in progress, and wait for its end."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            await self._timers.sleep(self._period_seconds)
            try:
                await self._callback()
            except Exception:
                logger.exception(
                    'periodic call failed; it is repeated after its period'
                )


class TimerService(ABC):
    """Source of time that also suspends tasks and makes periodic calls."""

    @abstractmethod
    def now(self) -> float:
        """Return the time of a monotonic clock in seconds."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """
        Suspend the calling task.

        Parameters
        ----------
        seconds : float
            Time to wait; zero or less yields once to other tasks.

        """

    @abstractmethod
    def wall_milliseconds(self) -> int:
        """
        Return the wall time in milliseconds since the Unix epoch.

        The wall clock may step back or ahead; it is meant for timestamps of
        the timeline, and `now` for durations and time-outs.

        """

    def call_periodically(
        self, period_seconds: float, callback: Callback
    ) -> PeriodicCall:
        """
        Call a callback periodically until the returned object is closed.

        Parameters
        ----------
        period_seconds : float
            Seconds between the end of one call and the start of the next.
        callback : Callback
            Coroutine function to call; its exceptions are logged.

        Returns
        -------
        PeriodicCall
            Handle that the owner closes to end the calls.

        """
        return PeriodicCall(self, period_seconds, callback)
