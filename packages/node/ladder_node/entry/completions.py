"""Completions for interactive callers."""

import uuid
from collections.abc import AsyncIterator
from math import inf

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ladder_clients.engines import Chunk
from ladder_node.dispatch import Generation
from ladder_node.entry.completion_messages import (
    Choice,
    Completion,
    CompletionModel,
)
from ladder_node.entry.connections import run_while_connected
from ladder_node.entry.events import answer_events
from ladder_node.entry.parts import EntryParts
from ladder_node.entry.requests import (
    authenticate,
    check_model,
    parse_body,
    read_body,
    read_timeout,
)


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
        lists = self._parts.configuration.require_fresh_lists()
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
            deadline=self._parts.timers.now() + read_timeout(request, inf),
        )
        chunks = self._parts.generations.generate(generation)
        if body.stream:
            return await answer_events(body.model, chunks)
        return await run_while_connected(
            request,
            _answer_whole(body.model, chunks),
        )


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
