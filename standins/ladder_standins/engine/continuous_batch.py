"""Continuous batch of an engine: a limited number of streams at once."""

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator


class ContinuousBatch:
    """
    Admit requests to a limited number of slots, in order of priority.

    Parameters
    ----------
    limit : int
        Number of slots, which is the largest number of running requests.

    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._running = 0
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    @contextlib.asynccontextmanager
    async def hold_slot(self, priority: int) -> AsyncIterator[None]:
        """
        Wait for a slot of the batch and hold it in the context.

        Parameters
        ----------
        priority : int
            Lower values are admitted first, equal ones in order of arrival.

        """
        await self._acquire_slot(priority)
        try:
            yield
        finally:
            self._release_slot()

    async def _acquire_slot(self, priority: int) -> None:
        if self._running < self._limit:
            self._running += 1
            return
        slot = asyncio.get_running_loop().create_future()
        entry = (priority, next(self._arrivals), slot)
        heapq.heappush(self._waiting, entry)
        try:
            await slot
        except asyncio.CancelledError:
            self._stop_waiting(entry)
            raise

    def _stop_waiting(
        self, entry: tuple[int, int, asyncio.Future[None]]
    ) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
        elif not entry[2].cancelled():
            self._release_slot()

    def _release_slot(self) -> None:
        while self._waiting:
            slot = heapq.heappop(self._waiting)[2]
            if not slot.done():
                slot.set_result(None)
                return
        self._running -= 1
