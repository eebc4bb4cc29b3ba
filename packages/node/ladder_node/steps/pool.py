"""Run the samples of a step, a bounded number at once."""

import asyncio
import heapq
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ladder_core.supervision import Service
from ladder_core.timers import Subscription, TimerService
from ladder_node.steps.metrics import SAMPLES_RUNNING

_REFILL_PERIOD_SECONDS = 1


@dataclass(frozen=True, slots=True, order=True)
class SampleKey:
    """
    The place of a sample within its step.

    Attributes
    ----------
    group : int
        Index of the group within the step.
    index : int
        Index of the sample within the group.

    """

    group: int
    index: int


class SamplePool(Service):
    """
    Run work for sample places, those of the lowest group first.

    Parameters
    ----------
    work : callable
        Makes the coroutine that produces the sample of a place. It handles
        its own failures; if it is cancelled from outside, it is run again.
    get_limit : callable
        Returns the number of samples that may run at once.
    timers : TimerService
        Source of time.

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
        self._subscription: Subscription | None = None
        self._is_closed = False

    @property
    def running(self) -> int:
        """Number of samples that run."""
        return len(self._tasks)

    @property
    def waiting(self) -> int:
        """Number of samples that wait."""
        return len(self._queue)

    async def start(self) -> None:
        """Begin to run what was submitted, as engines come and go."""
        self._subscription = self._timers.subscribe(
            _REFILL_PERIOD_SECONDS, self._refill
        )
        self._fill()

    async def close(self) -> None:
        """Cancel what runs and wait for its end."""
        self._is_closed = True
        self._queue.clear()
        if self._subscription is not None:
            await self._subscription.close()
            self._subscription = None
        for key in tuple(self._tasks):
            self._cancel(key)
        await asyncio.gather(*self._cancelled, return_exceptions=True)

    def submit(self, key: SampleKey) -> None:
        """Run a place's work unless it waits or runs already."""
        if self._is_closed or self.is_pending(key):
            return
        heapq.heappush(self._queue, key)
        if self._subscription is not None:
            self._fill()

    def cancel(self, key: SampleKey) -> None:
        """Cancel a place's work; an unknown place is ignored."""
        if key in self._tasks:
            self._cancel(key)
            self._fill()
        elif key in self._queue:
            self._queue.remove(key)
            heapq.heapify(self._queue)

    def is_pending(self, key: SampleKey) -> bool:
        """Whether a place's work waits or runs."""
        return key in self._tasks or key in self._queue

    async def _refill(self) -> None:
        self._fill()

    def _fill(self) -> None:
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
        self._fill()

    def _cancel(self, key: SampleKey) -> None:
        task = self._tasks.pop(key)
        self._cancelled.add(task)
        task.cancel()
