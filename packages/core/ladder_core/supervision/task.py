"""Component that consists of one task."""

import asyncio
import contextlib
from abc import abstractmethod

from loguru import logger

from ladder_core.supervision.base import Component


class TaskComponent(Component):
    """
    Run one task from the start of the component to its close.

    Subclasses implement `_run`, which handles its own errors; one that it does
    not handle ends the task and is logged.
    """

    def __init__(self) -> None:
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(self._run_logged())

    async def close(self) -> None:
        """Cancel the task and wait for its end."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._task = None

    @abstractmethod
    async def _run(self) -> None:
        """Do the work of the component until cancelled."""

    async def _run_logged(self) -> None:
        try:
            await self._run()
        except Exception:
            logger.exception('the task of {} ended', type(self).__name__)
