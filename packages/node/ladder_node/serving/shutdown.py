"""Shutdown of a node within its grace period."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.serving.drain import Drain

_CANCEL_SECONDS = 0.1


class Shutdown:
    """
    Drain and close a node, even if what it depends on is silent.

    Parameters
    ----------
    drain : Drain
        Finishes the requests in progress.
    timers : TimerService
        Clock for the time limits.
    timeline : Timeline
        Records the work that was cut.

    """

    def __init__(
        self, drain: Drain, timers: TimerService, timeline: Timeline
    ) -> None:
        self._drain = drain
        self._timers = timers
        self._timeline = timeline

    async def run(
        self, seconds: float, *announcements: Coroutine[Any, Any, None]
    ) -> None:
        """
        Drain the node while the other nodes are told.

        Parameters
        ----------
        seconds : float
            Time limit in seconds.
        *announcements : coroutine
            Tell other nodes that this one leaves; they may wait for the store,
            so the drain does not wait for them.

        """
        tasks = [asyncio.create_task(one) for one in announcements]
        await self._drain.run_within(seconds)
        for task in tasks:
            await self._end(task, 'shutdown-not-announced')

    async def close(
        self, closing: Coroutine[Any, Any, None], seconds: float
    ) -> None:
        """Close the components, and cancel that at a time limit in seconds."""
        task = asyncio.create_task(closing)
        limit = asyncio.create_task(self._timers.sleep(seconds))
        await asyncio.wait((task, limit), return_when=asyncio.FIRST_COMPLETED)
        limit.cancel()
        await self._end(task, 'close-cut')

    async def _end(self, task: asyncio.Task[None], event: str) -> None:
        """Cancel work that is still in progress, and record that."""
        if not task.done():
            task.cancel()
            self._timeline.record(event, 'node', work=str(task.get_coro()))
        limit = asyncio.create_task(self._timers.sleep(_CANCEL_SECONDS))
        await asyncio.wait((task, limit), return_when=asyncio.FIRST_COMPLETED)
        limit.cancel()
        if not task.done():
            # What suppresses its cancellation ends with the process.
            return
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error('{}', event)
