"""Run the samples of a step, a bounded number at once."""

import asyncio
import heapq
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ladder_core.supervision import Service
from ladder_core.timers import Subscription, TimerService
from ladder_node.steps.metrics import SAMPLES_RUNNING

_FILL_SECONDS = 1


@dataclass(frozen=True, slots=True, order=True)
class SamplePlace:
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
    count_limit : callable
        Returns the number of samples that may run at once.
    timers : TimerService
        Source of time.

    """

    def __init__(
        self,
        work: Callable[[SamplePlace], Awaitable[None]],
        count_limit: Callable[[], int],
        timers: TimerService,
    ) -> None:
        self._work = work
        self._count_limit = count_limit
        self._timers = timers
        self._queue: list[SamplePlace] = []
        self._tasks: dict[SamplePlace, asyncio.Task[None]] = {}
        self._withdrawn: set[asyncio.Task[None]] = set()
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
        self._subscription = self._timers.subscribe(_FILL_SECONDS, self._refill)
        self._fill()

    async def close(self) -> None:
        """Cancel what runs and wait for its end."""
        self._is_closed = True
        self._queue.clear()
        if self._subscription is not None:
            await self._subscription.close()
            self._subscription = None
        for place in tuple(self._tasks):
            self._cancel(place)
        await asyncio.gather(*self._withdrawn, return_exceptions=True)

    def submit(self, place: SamplePlace) -> None:
        """Run a place's work unless it waits or runs already."""
        if self._is_closed or self.is_pending(place):
            return
        heapq.heappush(self._queue, place)
        if self._subscription is not None:
            self._fill()

    def withdraw(self, place: SamplePlace) -> None:
        """Cancel a place's work; an unknown place is ignored."""
        if place in self._tasks:
            self._cancel(place)
            self._fill()
        elif place in self._queue:
            self._queue.remove(place)
            heapq.heapify(self._queue)

    def is_pending(self, place: SamplePlace) -> bool:
        """Whether a place's work waits or runs."""
        return place in self._tasks or place in self._queue

    async def _refill(self) -> None:
        self._fill()

    def _fill(self) -> None:
        limit = self._count_limit()
        while self._queue and len(self._tasks) < limit:
            self._begin(heapq.heappop(self._queue))

    def _begin(self, place: SamplePlace) -> None:
        task = asyncio.create_task(self._run(place))
        self._tasks[place] = task
        SAMPLES_RUNNING.inc()
        task.add_done_callback(lambda done: self._end(place, done))

    async def _run(self, place: SamplePlace) -> None:
        await self._work(place)

    def _end(self, place: SamplePlace, task: asyncio.Task[None]) -> None:
        SAMPLES_RUNNING.dec()
        if task in self._withdrawn:
            self._withdrawn.remove(task)
            return
        self._tasks.pop(place)
        if self._is_closed:
            return
        if task.cancelled() or task.exception():
            heapq.heappush(self._queue, place)
        self._fill()

    def _cancel(self, place: SamplePlace) -> None:
        task = self._tasks.pop(place)
        self._withdrawn.add(task)
        task.cancel()
