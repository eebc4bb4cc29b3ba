"""Run the samples of a step with bounded concurrency."""

import asyncio
import heapq
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.steps.metrics import SAMPLES_RUNNING

_REFILL_INTERVAL_SECONDS = 1


@dataclass(frozen=True, slots=True, order=True)
class SampleKey:
    """
    Identifies a sample within its step.

    Attributes
    ----------
    group : int
        Index of the group within the step.
    index : int
        Index of the sample within the group.

    """

    group: int
    index: int


class SamplePool(Component):
    """
    Run work for samples, those of the lowest group first.

    Parameters
    ----------
    work : callable
        Coroutine function that produces the sample of a key. It handles its
        own failures; a sample whose task was cancelled by other code than
        this pool is run again.
    get_limit : callable
        Returns the number of samples that may run at once; read each time
        that tasks are started.
    timers : TimerService
        Clock, delays and periodic callbacks.

    """

    def __init__(
        self,
        work: Callable[[SampleKey], Awaitable[None]],
        get_limit: Callable[[], int],
        timers: TimerService,
    ) -> None:
        self._work = work
        self._get_limit = get_limit
        self._timers = timers
        self._queue: list[SampleKey] = []
        self._tasks: dict[SampleKey, asyncio.Task[None]] = {}
        self._cancelled: set[asyncio.Task[None]] = set()
        self._periodic_call: PeriodicCall | None = None
        self._is_closed = False

    @property
    def running(self) -> int:
        """Number of samples whose work is running."""
        return len(self._tasks)

    @property
    def waiting(self) -> int:
        """Number of samples whose work is queued."""
        return len(self._queue)

    async def start(self) -> None:
        """Start submitted work, and more whenever the limit grows."""
        self._periodic_call = self._timers.call_periodically(
            _REFILL_INTERVAL_SECONDS, self._refill
        )
        self._start_queued()

    async def close(self) -> None:
        """Cancel all running work and wait until it has ended."""
        self._is_closed = True
        self._queue.clear()
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None
        for key in tuple(self._tasks):
            self._cancel(key)
        await asyncio.gather(*self._cancelled, return_exceptions=True)

    def submit(self, key: SampleKey) -> None:
        """Queue the work of a key unless it is already queued or running."""
        if self._is_closed or self.is_pending(key):
            return
        heapq.heappush(self._queue, key)
        if self._periodic_call is not None:
            self._start_queued()

    def cancel(self, key: SampleKey) -> None:
        """Cancel the work of a key; an unknown key is ignored."""
        if key in self._tasks:
            self._cancel(key)
            self._start_queued()
        elif key in self._queue:
            self._queue.remove(key)
            heapq.heapify(self._queue)

    def is_pending(self, key: SampleKey) -> bool:
        """Whether the work of a key is queued or running."""
        return key in self._tasks or key in self._queue

    async def _refill(self) -> None:
        self._start_queued()

    def _start_queued(self) -> None:
        limit = self._get_limit()
        while self._queue and len(self._tasks) < limit:
            self._start_task(heapq.heappop(self._queue))

    def _start_task(self, key: SampleKey) -> None:
        task = asyncio.create_task(self._run(key))
        self._tasks[key] = task
        SAMPLES_RUNNING.inc()
        task.add_done_callback(lambda done: self._on_done(key, done))

    async def _run(self, key: SampleKey) -> None:
        await self._work(key)

    def _on_done(self, key: SampleKey, task: asyncio.Task[None]) -> None:
        SAMPLES_RUNNING.dec()
        if task in self._cancelled:
            self._cancelled.remove(task)
            return
        self._tasks.pop(key)
        if self._is_closed:
            return
        if task.cancelled() or task.exception():
            heapq.heappush(self._queue, key)
        self._start_queued()

    def _cancel(self, key: SampleKey) -> None:
        task = self._tasks.pop(key)
        self._cancelled.add(task)
        task.cancel()
