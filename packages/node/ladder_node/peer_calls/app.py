"""Calls from other nodes."""

import inspect
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import msgspec
from loguru import logger
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from ladder_core.messages import decode_msgpack
from ladder_node.peer_calls.bodies import read_body

_OK_STATUS = 200
_BAD_REQUEST_STATUS = 400
_Message = TypeVar('_Message')


class PeerApp(Generic[_Message]):
    """
    Receive one kind of call from other nodes.

    Parameters
    ----------
    message_type : type
        Type of the messages.
    handle : callable
        Returns the reply to a message, or an awaitable of it.

    """

    def __init__(
        self,
        message_type: type[_Message],
        handle: Callable[
            [_Message], msgspec.Struct | Awaitable[msgspec.Struct]
        ],
    ) -> None:
        self._message_type = message_type
        self._handle = handle

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request of another node."""
        body = await read_body(Request(scope, receive))
        try:
            message = decode_msgpack(body, self._message_type)
        except msgspec.DecodeError as error:
            logger.warning('call of a node not understood: {}', error)
            response = Response(status_code=_BAD_REQUEST_STATUS)
        else:
            reply = self._handle(message)
            if inspect.isawaitable(reply):
                reply = await reply
            response = Response(msgspec.msgpack.encode(reply), _OK_STATUS)
        await response(scope, receive, send)
