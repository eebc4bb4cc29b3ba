"""Model engines over HTTP."""

from collections.abc import AsyncIterator

import aiohttp
import msgspec

from ladder_clients.engines.base import EngineClient
from ladder_clients.engines.wire import (
    Chunk,
    EngineState,
    GenerateRequest,
    Order,
    OrderOutcome,
)
from ladder_clients.transport import (
    Answer,
    HttpClient,
    Timeouts,
    TransportError,
    translate_target_errors,
)
from ladder_core.errors import (
    TargetLostError,
    TargetUnavailableError,
)

_OK = 200
_REFUSED_STATUSES = frozenset((409, 429, 503))
_ORDER_SECONDS = 2
_STREAM_GAP_SECONDS = 5


class HttpEngineClient(EngineClient):
    """
    Engines that stream JSON lines.

    Parameters
    ----------
    http : HttpClient
        Transport.
    gap_seconds : float, optional
        Silence after which a stream counts as lost.

    """

    def __init__(
        self,
        http: HttpClient,
        gap_seconds: float = _STREAM_GAP_SECONDS,
    ) -> None:
        self._http = http
        self._stream_timeouts = Timeouts(total=None, gap=gap_seconds)
        self._order_timeouts = Timeouts(total=_ORDER_SECONDS)

    async def generate(
        self,
        address: str,
        request: GenerateRequest,
    ) -> AsyncIterator[Chunk]:
        """Run a generation and yield its chunks."""
        remedy = 'go on elsewhere from what was received'
        with translate_target_errors(remedy):
            async with self._http.stream(
                'POST',
                f'http://{address}/v1/generate',
                body=msgspec.json.encode(request),
                timeouts=self._stream_timeouts,
            ) as reply:
                async for chunk in _read_chunks(address, reply, request):
                    yield chunk

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a generation."""
        await self._fetch('POST', address, f'cancel/{request_id}')

    async def read_state(self, address: str) -> EngineState:
        """Return the engine's own word on its state."""
        answer = await self._fetch('GET', address, 'state')
        return msgspec.json.decode(answer.body, type=EngineState)

    async def order(self, address: str, order: Order) -> OrderOutcome:
        """Give an order."""
        body = msgspec.json.encode(order)
        answer = await self._fetch('POST', address, 'orders', body)
        return msgspec.json.decode(answer.body, type=OrderOutcome)

    async def _fetch(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes = b'',
    ) -> Answer:
        answer = await self._http.fetch(
            method,
            f'http://{address}/v1/{path}',
            body=body,
            timeouts=self._order_timeouts,
        )
        if answer.status != _OK:
            raise TransportError(
                f'engine {address} answered {path} with {answer.status}',
                remedy='read its state and try again',
            )
        return answer


async def _read_chunks(
    address: str,
    reply: aiohttp.ClientResponse,
    request: GenerateRequest,
) -> AsyncIterator[Chunk]:
    if reply.status in _REFUSED_STATUSES:
        raise TargetUnavailableError(
            f'engine {address} refused with status {reply.status}',
            remedy='send the request to another target',
        )
    if reply.status != _OK:
        raise TargetLostError(
            f'engine {address} failed with status {reply.status}',
            remedy='go on elsewhere',
        )
    async for line in reply.content:
        chunk = _decode_chunk(address, line, request)
        yield chunk
        if chunk.end:
            return
    raise TargetLostError(
        f'engine {address} ended the stream without its end marker',
        remedy='go on elsewhere from what was received',
    )


def _decode_chunk(
    address: str,
    line: bytes,
    request: GenerateRequest,
) -> Chunk:
    try:
        chunk = msgspec.json.decode(line, type=Chunk)
    except msgspec.DecodeError as error:
        raise TargetLostError(
            f'engine {address} sent a malformed line',
            remedy='go on elsewhere from what was received',
        ) from error
    if chunk.request_id != request.request_id:
        raise TargetLostError(
            f'engine {address} sent a chunk of another request',
            remedy='go on elsewhere from what was received',
        )
    return chunk
