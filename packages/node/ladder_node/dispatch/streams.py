"""Close streams of chunks at a known time, and cancel what they leave."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator

from loguru import logger
from prometheus_client import Counter

from ladder_clients.engines import Chunk, EngineClient
from ladder_clients.transport import TransportError

_MAX_CANCELLATIONS = 1024

_CANCELLED = Counter(
    'ladder_generations_cancelled',
    'Generations that were left before their end and cancelled at the engine',
)


@contextlib.asynccontextmanager
async def closing(
    chunks: AsyncIterator[Chunk],
) -> AsyncIterator[AsyncIterator[Chunk]]:
    """
    Close a stream of chunks at the end of the context.

    Parameters
    ----------
    chunks : AsyncIterator of Chunk
        The stream; one that is no generator needs no close.

    Yields
    ------
    AsyncIterator of Chunk
        The stream.

    """
    try:
        yield chunks
    finally:
        if isinstance(chunks, AsyncGenerator):
            await chunks.aclose()


class CancellationSender:
    """
    Tell engines which generations nobody waits for.

    Parameters
    ----------
    engines : EngineClient
        Reaches the engines.

    Notes
    -----
    A generation is often left by the cancellation of its task, in which
    nothing can be awaited. Each order therefore runs in a task of its own.

    """

    def __init__(self, engines: EngineClient) -> None:
        self._engines = engines
        self._tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Wait for the orders in progress."""
        await asyncio.gather(*self._tasks)

    def send(self, address: str, request_id: str) -> None:
        """
        Cancel a generation.

        Parameters
        ----------
        address : str
            ``ip:port`` of the engine.
        request_id : str
            Identifies the dispatch.

        """
        if len(self._tasks) >= _MAX_CANCELLATIONS:
            return
        _CANCELLED.inc()
        task = asyncio.create_task(self._send(address, request_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, address: str, request_id: str) -> None:
        try:
            await self._engines.cancel(address, request_id)
        except TransportError as error:
            logger.debug('cancellation of {}: {}', request_id, error)
