"""Supervisor of components and tasks."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable

from loguru import logger

from ladder_core.supervision.base import Component
from ladder_core.timers import TimerService

TaskFactory = Callable[[], Awaitable[None]]

_RESTART_DELAY_SECONDS = 0.2


class Supervisor(Component):
    """
    Start components in order, restart failed tasks, close in reverse order.

    A supervisor is itself a component, so supervisors form a tree.

    Parameters
    ----------
    name : str
        Name of the supervisor in log lines.
    timers : TimerService
        Clock for the restart delay and the restart window.
    max_restarts : int, optional
        Maximum number of restarts of one task within `window_seconds`; a
        further failure makes the supervisor itself fail.
    window_seconds : float, optional
        Period over which the restarts of a task are counted.

    """

    def __init__(
        self,
        name: str,
        timers: TimerService,
        *,
        max_restarts: int = 10,
        window_seconds: float = 60,
    ) -> None:
        self._name = name
        self._timers = timers
        self._max_restarts = max_restarts
        self._window_seconds = window_seconds
        self._children: list[Component] = []
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._failed = asyncio.Event()

    @property
    def has_failed(self) -> bool:
        """Whether a task has exceeded its restart limit."""
        return self._failed.is_set()

    def add(self, child: Component) -> None:
        """Add a component that starts and closes with the supervisor."""
        self._children.append(child)

    async def start(self) -> None:
        """Start the components in the order in which they were added."""
        for child in self._children:
            await child.start()

    async def close(self) -> None:
        """Cancel the tasks, then close the components in reverse order."""
        for name in tuple(self._tasks):
            await self.stop(name)
        while self._children:
            await self._children.pop().close()

    def spawn(self, name: str, factory: TaskFactory) -> None:
        """
        Start a task, and restart it each time that it fails.

        A name that already belongs to a running task is ignored.

        Parameters
        ----------
        name : str
            Unique among the running tasks of this supervisor.
        factory : TaskFactory
            Called for each run to make the coroutine. A task whose coroutine
            returns normally is not restarted.

        """
        if name in self._tasks:
            return
        task = asyncio.create_task(
            self._run_with_restarts(name, factory), name=name
        )
        self._tasks[name] = task
        task.add_done_callback(lambda _done: self._tasks.pop(name, None))

    async def stop(self, name: str) -> None:
        """Cancel a task and wait until it ends; an unknown name is ignored."""
        task = self._tasks.get(name)
        if task is None:
            return
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def wait_failed(self) -> None:
        """Wait until a task has exceeded its restart limit."""
        await self._failed.wait()

    async def _run_with_restarts(self, name: str, factory: TaskFactory) -> None:
        restart_times: deque[float] = deque(maxlen=self._max_restarts)
        while True:
            try:
                await factory()
            except Exception:
                logger.exception(
                    'task {} of supervisor {} failed', name, self._name
                )
            else:
                return
            if self._is_limit_reached(restart_times):
                self._failed.set()
                return
            restart_times.append(self._timers.now())
            await self._timers.sleep(_RESTART_DELAY_SECONDS)

    def _is_limit_reached(self, restart_times: deque[float]) -> bool:
        if len(restart_times) < self._max_restarts:
            return False
        return self._timers.now() - restart_times[0] < self._window_seconds
