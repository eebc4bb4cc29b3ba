"""The contract of a timer service and of a subscription to it."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from loguru import logger

Callback = Callable[[], Awaitable[None]]


class PeriodicCall:
    """
    A periodic call of one part's callback.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    period : float
        Seconds between the end of one call and the start of the next.
    callback : Callback
        Awaited once a period. An exception is logged and does not end the
        subscription.

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
        """End the subscription and wait for a call in progress to stop."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            await self._timers.sleep(self._period_seconds)
            try:
                await self._callback()
            except Exception:
                logger.exception('periodic call failed')


class TimerService(ABC):
    """Tells the time, suspends tasks and calls subscribers."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds on a clock that never steps back."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """
        Suspend the calling task.

        Parameters
        ----------
        seconds : float
            Seconds to wait; zero or less yields once.

        """

    @abstractmethod
    def wall_milliseconds(self) -> int:
        """Return milliseconds since the epoch, for time line stamps only."""

    def call_periodically(
        self, period_seconds: float, callback: Callback
    ) -> PeriodicCall:
        """
        Call a callback periodically until the subscription is closed.

        Parameters
        ----------
        period : float
            Seconds between calls.
        callback : Callback
            The coroutine function to call.

        Returns
        -------
        PeriodicCall
            Owned by the caller, who closes it.

        """
        return PeriodicCall(self, period_seconds, callback)
