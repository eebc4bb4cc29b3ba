"""HTTP interface of the engine stand-in."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from ladder_clients.engines import (
    Chunk,
    GenerateRequest,
    Order,
    OrderKind,
    OrderResponse,
    Role,
)
from ladder_standins.engine.settings import EngineSettings
from ladder_standins.engine.simulator import EngineFaults, EngineSimulator
from ladder_standins.json_bodies import make_json_response, read_json
from ladder_standins.records import RecordWriter

_UNAVAILABLE_STATUS = 503


class _ClosingStream(StreamingResponse):
    """Streaming response that frees its batch slot when the caller leaves."""

    def __init__(self, chunks: AsyncGenerator[bytes, None]) -> None:
        super().__init__(chunks)
        self._chunks = chunks

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send the chunks, and close their generator in any case."""
        async with contextlib.aclosing(self._chunks):
            await super().__call__(scope, receive, send)


class EngineApp:
    """
    Serve one simulated engine over HTTP.

    Parameters
    ----------
    engine : EngineSimulator
        Engine that executes the requests and orders received.

    """

    def __init__(self, engine: EngineSimulator) -> None:
        self._engine = engine
        self._cancel_events: dict[str, asyncio.Event] = {}

    async def generate(self, request: Request) -> Response:
        """Stream the chunks of a generation, if requests are accepted."""
        generation = await read_json(request, GenerateRequest)
        if not self._engine.is_accepting:
            return Response(status_code=_UNAVAILABLE_STATUS)
        return _ClosingStream(self._stream(generation))

    async def cancel(self, request: Request) -> Response:
        """Cancel a generation; an unknown id is ignored."""
        cancelled = self._cancel_events.get(request.path_params['request_id'])
        if cancelled is not None:
            cancelled.set()
        return make_json_response({})

    async def read_state(self, request: Request) -> Response:
        """Respond with the state that the engine reports."""
        return make_json_response(self._engine.read_state())

    async def order(self, request: Request) -> Response:
        """Execute an order, unless its fencing token is stale."""
        order = await read_json(request, Order)
        if self._engine.should_refuse(order):
            return make_json_response(OrderResponse(False, 'old fencing token'))
        if order.kind is OrderKind.load_version:
            self._engine.start_load(order.version)
        else:
            self._engine.change_role(order.role)
        return make_json_response(OrderResponse(accepted=True))

    async def leave(self, request: Request) -> Response:
        """Make the engine leave: it refuses new requests from now on."""
        self._engine.change_role(Role.serving)
        self._engine.is_leaving = True
        return make_json_response({})

    async def set_faults(self, request: Request) -> Response:
        """Replace the faults that the engine shows."""
        self._engine.faults = await read_json(request, EngineFaults)
        return make_json_response({})

    async def _stream(
        self,
        generation: GenerateRequest,
    ) -> AsyncGenerator[bytes, None]:
        cancelled = asyncio.Event()
        self._cancel_events[generation.request_id] = cancelled
        try:
            async with contextlib.aclosing(
                self._engine.generate(generation, cancelled),
            ) as chunks:
                async for chunk in chunks:
                    yield _encode(chunk)
        finally:
            self._cancel_events.pop(generation.request_id, None)


def make_engine(settings: EngineSettings, records: RecordWriter) -> Starlette:
    """Return the HTTP application of an engine stand-in."""
    app = EngineApp(EngineSimulator(settings, records))
    post = ['POST']
    return Starlette(
        routes=[
            Route('/v1/generate', app.generate, methods=post),
            Route('/v1/cancel/{request_id:path}', app.cancel, methods=post),
            Route('/v1/state', app.read_state),
            Route('/v1/orders', app.order, methods=post),
            Route('/leave', app.leave, methods=post),
            Route('/misbehave', app.set_faults, methods=post),
        ],
    )


def _encode(chunk: Chunk) -> bytes:
    return b'%b\n' % msgspec.json.encode(chunk)
