"""Completions for interactive callers."""

import uuid
from collections.abc import AsyncIterator

import msgspec
from pydantic import Field
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse

from ladder_clients.engines import Chunk
from ladder_core.errors import LadderError
from ladder_node.dispatch import Generation
from ladder_node.entry.parts import EntryParts
from ladder_node.entry.problems import make_problem
from ladder_node.entry.requests import (
    RequestModel,
    authenticate,
    check_model,
    parse_body,
    read_body,
)

_MAX_TOKENS = 65_536
_DEFAULT_TOKENS = 256
_EVENT_STREAM = 'text/event-stream'


class CompletionModel(RequestModel):
    """
    The body of a completion request.

    Attributes
    ----------
    model : str
        Model to run.
    prompt : str
        The prompt.
    max_tokens : int
        Largest number of tokens.
    seed : int
        Seed of the sampling.
    stream : bool
        Whether to answer with server-sent events.

    """

    model: str
    prompt: str
    max_tokens: int = Field(default=_DEFAULT_TOKENS, ge=1, le=_MAX_TOKENS)
    seed: int = 0
    stream: bool = False


class Choice(msgspec.Struct, frozen=True):
    """
    A generated text or a part of it.

    Attributes
    ----------
    text : str
        The text.
    index : int
        Always zero.
    finish_reason : str or None
        ``stop`` in the last part.

    """

    text: str
    index: int = 0
    finish_reason: str | None = None


class Completion(msgspec.Struct, frozen=True):
    """
    A completion or a part of it.

    Attributes
    ----------
    id : str
        Identifies the completion.
    model : str
        Model that ran.
    choices : tuple of Choice
        One choice.
    version : int
        Weight version of the last tokens.

    """

    id: str  # noqa: WPS125 the field's name on the wire
    model: str
    choices: tuple[Choice, ...]
    version: int = 0


class CompletionRoutes:
    """
    Answer completion requests.

    Parameters
    ----------
    parts : EntryParts
        The node's parts.

    """

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts

    async def complete(self, request: Request) -> Response:
        """Answer ``POST /v1/completions``."""
        lists = self._parts.configuration.require_lists()
        plan = authenticate(request, lists)
        limit = self._parts.settings.body_limit_bytes
        body = parse_body(await read_body(request, limit), CompletionModel)
        allowance = lists.find_allowance(plan.name)
        check_model(allowance, body.model)
        generation = Generation(
            model=body.model,
            pools=allowance.pools,
            data_centres=allowance.data_centres,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            seed=body.seed,
        )
        chunks = self._parts.generations.generate(generation)
        if body.stream:
            return await _answer_stream(body.model, chunks)
        return await _answer_whole(body.model, chunks)


async def _answer_whole(model: str, chunks: AsyncIterator[Chunk]) -> Response:
    texts = []
    version = 0
    async for chunk in chunks:
        texts.append(chunk.text)
        version = chunk.version or version
    choice = Choice(''.join(texts), finish_reason='stop')
    completion = Completion(uuid.uuid4().hex, model, (choice,), version)
    return Response(
        msgspec.json.encode(completion),
        media_type='application/json',
    )


async def _answer_stream(model: str, chunks: AsyncIterator[Chunk]) -> Response:
    # An error before the first chunk still gets its own status.
    first = await anext(chunks)
    events = _write_events(model, first, chunks)
    return StreamingResponse(events, media_type=_EVENT_STREAM)


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
