"""Stream completions as server-sent events."""

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

_EVENT_STREAM_MEDIA_TYPE = 'text/event-stream'


class CompletionStream(StreamingResponse):
    """
    Send the chunks of a generation as events.

    The generation is closed when the connection ends.

    Parameters
    ----------
    model : str
        Model name that each event repeats.
    first : Chunk
        First chunk, already received from the engine.
    chunks : AsyncIterator of Chunk
        Remaining chunks of the generation.

    """

    def __init__(
        self,
        model: str,
        first: Chunk,
        chunks: AsyncIterator[Chunk],
    ) -> None:
        super().__init__(
            _encode_events(model, first, chunks),
            media_type=_EVENT_STREAM_MEDIA_TYPE,
        )
        self._chunks = chunks

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send the events; close the generation in any case."""
        # If the caller disconnects between two events, the generator stays
        # suspended and would not be closed.
        async with closing(self._chunks):
            await super().__call__(scope, receive, send)


async def stream_completion(
    model: str, chunks: AsyncIterator[Chunk]
) -> Response:
    """
    Answer with an event stream once the first chunk has arrived.

    Parameters
    ----------
    model : str
        Model name that each event repeats.
    chunks : AsyncIterator of Chunk
        Chunks of the generation, the end marker last.

    Returns
    -------
    Response
        Event stream. An error after the first chunk is sent as an event of
        type ``error``; only a complete generation ends with ``[DONE]``.

    Raises
    ------
    LadderError
        No chunk was generated; the error decides the HTTP status.

    """
    first = await anext(chunks)
    return CompletionStream(model, first, chunks)


async def _encode_events(
    model: str,
    first: Chunk,
    chunks: AsyncIterator[Chunk],
) -> AsyncIterator[bytes]:
    completion_id = uuid.uuid4().hex
    yield _encode_event(completion_id, model, first)
    try:
        async for chunk in chunks:
            yield _encode_event(completion_id, model, chunk)
    except LadderError as error:
        problem = msgspec.json.encode(make_problem(error))
        yield b'event: error\ndata: %b\n\n' % problem
        return
    yield b'data: [DONE]\n\n'


def _encode_event(completion_id: str, model: str, chunk: Chunk) -> bytes:
    reason = 'stop' if chunk.end else None
    choice = Choice(chunk.text, finish_reason=reason)
    completion = Completion(completion_id, model, (choice,), chunk.version)
    return b'data: %b\n\n' % msgspec.json.encode(completion)
