"""A group of asyncio tasks that run only while a lease is held."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from ladder_core.errors import LadderError
from ladder_node.batches.fence import OwnershipLostError


class LeaseTaskGroup:
    """
    Start asyncio tasks that are cancelled together when the lease is lost.

    Parameters
    ----------
    group : asyncio.TaskGroup
        Group that the tasks are created in. The caller enters and exits it.

    """

    def __init__(self, group: asyncio.TaskGroup) -> None:
        self._group = group

    def spawn_essential(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """
        Run a coroutine without which the lease is of no use.

        Any error of it ends the group, so that the duty begins again.
        """
        self._group.create_task(coroutine)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """
        Run a coroutine in the group.

        Only the loss of the lease ends the group; other errors are logged.
        """
        task = self._group.create_task(_guard(coroutine))
        # A task that is cancelled before its first step never awaits the
        # coroutine, which would cause a warning if it were not closed.
        task.add_done_callback(lambda _: coroutine.close())
        return task


async def _guard(coroutine: Coroutine[Any, Any, None]) -> None:
    try:
        await coroutine
    except OwnershipLostError:
        raise
    except LadderError as error:
        logger.warning('a task of the duty failed: {}', error)
    except Exception:
        logger.exception('a task of the duty failed unexpectedly')
