"""Client of model engines over HTTP."""

from collections.abc import AsyncIterator
from functools import partial

import msgspec

from ladder_clients.engines.base import EngineClient
from ladder_clients.engines.stream import LineStream
from ladder_clients.engines.wire import (
    Chunk,
    EngineState,
    GenerateRequest,
    Order,
    OrderResponse,
)
from ladder_clients.transport import (
    HttpClient,
    HttpResponse,
    Timeouts,
    TransportError,
    translate_target_errors,
)
from ladder_core.errors import (
    AnswerCorruptError,
    TargetLostError,
    TargetRefusedError,
)
from ladder_core.messages import decode_json

_OK_STATUS = 200
_REFUSED_STATUSES = frozenset((409, 429, 503))
_ORDER_TIMEOUT_SECONDS = 2
_SILENT_GAP_SECONDS = 5
_MAX_SILENT_GAPS = 12
_RETRY_AFTER_SECONDS = 1


class HttpEngineClient(EngineClient):
    """
    Client of engines that stream their chunks as JSON lines.

    Parameters
    ----------
    http : HttpClient
        Transport of the requests.
    gap_seconds : float, optional
        Time without a received byte after which the engine is asked for its
        state. The stream counts as lost unless the engine is loading a version
        or, before the first byte, has no free slot in its batch.

    """

    def __init__(
        self,
        http: HttpClient,
        gap_seconds: float = _SILENT_GAP_SECONDS,
    ) -> None:
        self._http = http
        self._gap_seconds = gap_seconds
        # The head of the response arrives before the generation starts. Gaps
        # after it are handled by `LineStream`, which may wait for several of
        # them, so the time-out of the transport must be longer.
        self._stream_timeouts = Timeouts(
            total_seconds=None,
            read_seconds=gap_seconds * (_MAX_SILENT_GAPS + 1),
        )
        self._order_timeouts = Timeouts(total_seconds=_ORDER_TIMEOUT_SECONDS)

    async def generate(
        self,
        address: str,
        request: GenerateRequest,
    ) -> AsyncIterator[Chunk]:
        """Run a generation and yield its chunks, the end marker last."""
        remedy = 'go on elsewhere from what was received'
        with translate_target_errors(remedy):
            async with self._http.stream(
                'POST',
                f'http://{address}/v1/generate',
                body=msgspec.json.encode(request),
                timeouts=self._stream_timeouts,
            ) as response:
                _check_status(address, response.status)
                stream = LineStream(
                    response.content,
                    self._gap_seconds,
                    partial(self._is_silence_expected, address),
                    _MAX_SILENT_GAPS,
                )
                async for chunk in _read_chunks(address, stream, request):
                    yield chunk

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a generation; do nothing if the engine does not know it."""
        await self._fetch('POST', address, f'cancel/{request_id}')

    async def read_state(self, address: str) -> EngineState:
        """Read the state of an engine from the engine itself."""
        response = await self._fetch('GET', address, 'state')
        return decode_json(response.body, EngineState)

    async def order(self, address: str, order: Order) -> OrderResponse:
        """Send an order to an engine."""
        body = msgspec.json.encode(order)
        response = await self._fetch('POST', address, 'orders', body)
        return decode_json(response.body, OrderResponse)

    async def _is_silence_expected(
        self, address: str, has_received: bool
    ) -> bool:
        """
        Ask the engine, over a new connection, if it has a reason for a gap.

        Parameters
        ----------
        address : str
            ``ip:port`` of the engine.
        has_received : bool
            Whether the stream has delivered anything; a request that has is
            in the batch, so a full batch does not explain its silence.

        """
        try:
            state = await self.read_state(address)
        except (TransportError, msgspec.DecodeError):
            return False
        if state.swapping:
            return True
        is_full = state.queued > 0 or state.running >= state.batch_limit
        return is_full and not has_received

    async def _fetch(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes = b'',
    ) -> HttpResponse:
        response = await self._http.fetch(
            method,
            f'http://{address}/v1/{path}',
            body=body,
            timeouts=self._order_timeouts,
        )
        if response.status != _OK_STATUS:
            raise TransportError(
                f'engine {address} answered {path} with {response.status}',
                remedy='read its state and try again',
            )
        return response


def _check_status(address: str, status: int) -> None:
    if status in _REFUSED_STATUSES:
        raise TargetRefusedError(
            f'engine {address} refused with status {status}',
            remedy='send the request to another target',
            retry_after=_RETRY_AFTER_SECONDS,
        )
    if status != _OK_STATUS:
        raise TargetLostError(
            f'engine {address} failed with status {status}',
            remedy='go on elsewhere',
        )


async def _read_chunks(
    address: str,
    stream: LineStream,
    request: GenerateRequest,
) -> AsyncIterator[Chunk]:
    tokens = request.prefix_tokens
    async for line in stream.read():
        chunk = _decode_chunk(address, line, request)
        tokens += chunk.tokens
        if chunk.end:
            _check_total(address, chunk, tokens)
        yield chunk
        if chunk.end:
            return
    raise TargetLostError(
        f'engine {address} ended the stream without its end marker',
        remedy='go on elsewhere from what was received',
    )


def _check_total(address: str, end: Chunk, tokens: int) -> None:
    if end.total_tokens != tokens:
        raise AnswerCorruptError(
            f'engine {address} ended a stream of {end.total_tokens} tokens '
            f'of which {tokens} arrived',
            remedy='send the request again',
        )


def _decode_chunk(
    address: str,
    line: bytes,
    request: GenerateRequest,
) -> Chunk:
    try:
        chunk = decode_json(line, Chunk)
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
