"""Completions as server-sent events."""

import uuid
from collections.abc import AsyncIterator

import msgspec
from starlette.responses import Response, StreamingResponse
from starlette.types import Receive, Scope, Send

from ladder_clients.engines import Chunk
from ladder_core.errors import LadderError
from ladder_node.dispatch.streams import closing
from ladder_node.entry.completion_messages import Choice, Completion
from ladder_node.entry.problems import make_problem

_EVENT_STREAM = 'text/event-stream'


class CompletionStream(StreamingResponse):
    """
    Send the events of a generation, and close it with the connection.

    Parameters
    ----------
    model : str
        Model that generates.
    first : Chunk
        The chunk already received.
    chunks : AsyncIterator of Chunk
        The others.

    """

    def __init__(
        self,
        model: str,
        first: Chunk,
        chunks: AsyncIterator[Chunk],
    ) -> None:
        super().__init__(
            _write_events(model, first, chunks),
            media_type=_EVENT_STREAM,
        )
        self._chunks = chunks

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send the events."""
        # A caller who left between two events leaves the stream suspended.
        async with closing(self._chunks):
            await super().__call__(scope, receive, send)


async def stream_completion(
    model: str, chunks: AsyncIterator[Chunk]
) -> Response:
    """
    Answer with events once the first chunk has arrived.

    Parameters
    ----------
    model : str
        Model that generates.
    chunks : AsyncIterator of Chunk
        The generation.

    Returns
    -------
    Response
        The events; an error after the first chunk is an event of its own,
        and only a whole generation ends with ``[DONE]``.

    Raises
    ------
    LadderError
        Nothing was generated; the error gets a status of its own.

    """
    first = await anext(chunks)
    return CompletionStream(model, first, chunks)


async def _write_events(
    model: str,
    first: Chunk,
    chunks: AsyncIterator[Chunk],
) -> AsyncIterator[bytes]:
    name = uuid.uuid4().hex
    yield _write_event(name, model, first)
    try:
        async for chunk in chunks:
            yield _write_event(name, model, chunk)
    except LadderError as error:
        problem = msgspec.json.encode(make_problem(error))
        yield b'event: error\ndata: %b\n\n' % problem
        return
    yield b'data: [DONE]\n\n'


def _write_event(name: str, model: str, chunk: Chunk) -> bytes:
    reason = 'stop' if chunk.end else None
    choice = Choice(chunk.text, finish_reason=reason)
    completion = Completion(name, model, (choice,), chunk.version)
    return b'data: %b\n\n' % msgspec.json.encode(completion)
