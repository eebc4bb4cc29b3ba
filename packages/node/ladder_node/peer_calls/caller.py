"""Calls to other nodes."""

from typing import TypeVar

import msgspec
from loguru import logger

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    Timeouts,
    TransportError,
)
from ladder_core.errors import OverloadedError
from ladder_core.messages import decode_msgpack
from ladder_node.peer_calls.bodies import MAX_BODY_BYTES

_Reply = TypeVar('_Reply')


class PeerCaller:
    """
    Call other nodes.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the peers.

    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def call(
        self,
        address: str,
        path: str,
        message: msgspec.Struct,
        reply_type: type[_Reply],
        timeout_seconds: float,
    ) -> _Reply | None:
        """
        Send a message, and return the reply.

        Parameters
        ----------
        address : str
            ``ip:port`` at which the peer accepts other nodes.
        path : str
            Path of the call.
        message : msgspec.Struct
            The message.
        reply_type : type
            Type of the reply.
        timeout_seconds : float
            Time limit of the connection, and of the exchange.

        Returns
        -------
        reply_type or None
            The reply; None if there is none in time.

        """
        request = OutgoingRequest(
            b'POST',
            path.encode(),
            ((b'Host', address.encode()),),
            msgspec.msgpack.encode(message),
        )
        limits = Timeouts(timeout_seconds, timeout_seconds, timeout_seconds)
        try:
            async with self._pool.exchange(address, request, limits) as reply:
                body = await reply.read(MAX_BODY_BYTES)
            return decode_msgpack(body, reply_type)
        except (TransportError, OverloadedError, msgspec.DecodeError) as error:
            logger.debug('no reply from {} to {}: {}', address, path, error)
            return None
