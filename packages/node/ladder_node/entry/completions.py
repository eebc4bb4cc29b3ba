"""Route for completions."""

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
    CompletionRequest,
)
from ladder_node.entry.completion_stream import stream_completion
from ladder_node.entry.dependencies import EntryDependencies
from ladder_node.entry.requests import (
    authenticate,
    check_model,
    parse_body,
    read_body,
    read_timeout,
)
from ladder_node.serving import run_while_connected


class CompletionRoutes:
    """
    Answer completion requests.

    Parameters
    ----------
    dependencies : EntryDependencies
        Settings, configuration and dispatchers that the routes use.

    """

    def __init__(self, dependencies: EntryDependencies) -> None:
        self._dependencies = dependencies

    async def complete(self, request: Request) -> Response:
        """Answer ``POST /v1/completions``."""
        lists = self._dependencies.configuration.require_fresh_lists()
        plan = authenticate(request, lists)
        limit = self._dependencies.settings.body_limit_bytes
        body = parse_body(await read_body(request, limit), CompletionRequest)
        allowance = lists.find_allowance(plan.name)
        check_model(allowance, body.model)
        generation = Generation(
            model=body.model,
            pools=allowance.pools,
            data_centres=allowance.data_centres,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            seed=body.seed,
            deadline=self._dependencies.timers.now()
            + read_timeout(request, inf),
        )
        chunks = self._dependencies.generations.generate(generation)
        if body.stream:
            return await stream_completion(body.model, chunks)
        return await run_while_connected(
            request,
            _collect_completion(body.model, chunks),
        )


async def _collect_completion(
    model: str, chunks: AsyncIterator[Chunk]
) -> Response:
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
