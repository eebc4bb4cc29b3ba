"""Close streams of chunks promptly, and cancel abandoned generations."""

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
    Close a stream of chunks when the context ends.

    Explanation
    -----------
    Without it a generator that is not exhausted is closed at an unknown time,
    by the garbage collector.

    Parameters
    ----------
    chunks : AsyncIterator of Chunk
        The stream to close; only a generator needs closing.

    Yields
    ------
    AsyncIterator of Chunk
        The same stream.

    """
    try:
        yield chunks
    finally:
        if isinstance(chunks, AsyncGenerator):
            await chunks.aclose()


class CancellationSender:
    """
    Send cancellations of abandoned generations to engines.

    Parameters
    ----------
    engines : EngineClient
        Client that sends the cancellations.

    Notes
    -----
    A generation is often abandoned because its task is cancelled, and nothing
    can be awaited during the cancellation of a task. Each cancellation is
    therefore sent by a task of its own.

    """

    def __init__(self, engines: EngineClient) -> None:
        self._engines = engines
        self._tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Wait for the cancellations in progress."""
        await asyncio.gather(*self._tasks)

    def send(self, address: str, request_id: str) -> None:
        """
        Start to cancel a generation, unless too many are in progress.

        Parameters
        ----------
        address : str
            ``ip:port`` of the engine.
        request_id : str
            Identifier under which the generation was sent to the engine.

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
            logger.debug('request {} was not cancelled: {}', request_id, error)
