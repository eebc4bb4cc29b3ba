"""Serve relayed store calls of other nodes."""

from collections.abc import Awaitable, Callable

import msgspec
from prometheus_client import Counter
from starlette.types import Message, Receive, Scope, Send

from ladder_clients.table import StoreOutcomeUnknownError
from ladder_core.errors import NotRunError
from ladder_core.messages import decode_msgpack
from ladder_node.store_relay.messages import RelayedCall, RelayedResponse

_OK_STATUS = 200
_BAD_REQUEST_STATUS = 400
_MAX_BODY_BYTES = 2_000_000

_relayed_counter = Counter(
    'ladder_store_calls_carried_total',
    'Calls to the store that were made for other nodes',
)

MakeCall = Callable[[RelayedCall], Awaitable[RelayedResponse]]


class StoreRelayApp:
    """
    Receive store calls from other nodes and make them directly.

    Parameters
    ----------
    make_call : callable
        Makes a call to the store directly; it never relays it to a third
        node.

    """

    def __init__(self, make_call: MakeCall) -> None:
        self._make_call = make_call

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request of another node."""
        body = await _read_body(receive)
        try:
            call = decode_msgpack(body, RelayedCall)
        except msgspec.DecodeError:
            await _send_response(send, _BAD_REQUEST_STATUS, b'')
            return
        _relayed_counter.inc()
        response = await self._make(call)
        await _send_response(send, _OK_STATUS, msgspec.msgpack.encode(response))

    async def _make(self, call: RelayedCall) -> RelayedResponse:
        try:
            return await self._make_call(call)
        except NotRunError:
            return RelayedResponse(0, is_undone=True)
        except StoreOutcomeUnknownError:
            return RelayedResponse(0, is_undone=False)


async def _read_body(receive: Receive) -> bytes:
    parts: list[bytes] = []
    while True:
        message: Message = await receive()
        parts.append(message.get('body', b''))
        size = sum(len(part) for part in parts)
        if not message.get('more_body', False) or size > _MAX_BODY_BYTES:
            return b''.join(parts)


async def _send_response(send: Send, status: int, body: bytes) -> None:
    headers = [(b'content-length', str(len(body)).encode())]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers},
    )
    await send({'type': 'http.response.body', 'body': body})
