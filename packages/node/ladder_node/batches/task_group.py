"""Tasks that end together with the holding of a lease."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from ladder_core.errors import LadderError
from ladder_node.batches.fence import OwnershipLostError


class LeaseTaskGroup:
    """
    Start tasks in a group; only the loss of the lease ends them all.

    Parameters
    ----------
    group : asyncio.TaskGroup
        The group, owned by the caller.

    """

    def __init__(self, group: asyncio.TaskGroup) -> None:
        self._group = group

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work; an error other than the loss of the lease is logged."""
        task = self._group.create_task(_guard(work))
        # A task that is cancelled before its first step never awaits it.
        task.add_done_callback(lambda _: work.close())
        return task


async def _guard(work: Coroutine[Any, Any, None]) -> None:
    try:
        await work
    except OwnershipLostError:
        raise
    except LadderError as error:
        logger.warning('work of the duty ended: {}', error)
    except Exception:
        logger.exception('work of the duty failed')
