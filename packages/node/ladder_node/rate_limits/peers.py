"""Applications for permits between nodes."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
from loguru import logger
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    Timeouts,
    TransportError,
)
from ladder_core.errors import OverloadedError
from ladder_node.rate_limits.issuer import (
    PermitApplication,
    PermitOutcome,
    PermitReply,
)

PERMIT_PATH = '/v1/permits'
# Two exchanges between distant regions, and some time for a busy node.
_TIMEOUT_SECONDS = 0.25
_MAX_BODY_BYTES = 10_000
_OK_STATUS = 200
_BAD_REQUEST_STATUS = 400


class PermitSender(ABC):
    """Sends applications to the node that issues the permits."""

    @abstractmethod
    async def send(
        self, address: str, application: PermitApplication
    ) -> PermitReply | None:
        """
        Send an application, and return the reply.

        Parameters
        ----------
        address : str
            ``ip:port`` at which the issuer accepts other nodes.
        application : PermitApplication
            The application.

        Returns
        -------
        PermitReply or None
            The reply; None if there is none in time.

        """


class HttpPermitSender(PermitSender):
    """
    Send applications over HTTP.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the peers.

    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def send(
        self, address: str, application: PermitApplication
    ) -> PermitReply | None:
        """Send an application, and return the reply."""
        request = OutgoingRequest(
            b'POST',
            PERMIT_PATH.encode(),
            ((b'Host', address.encode()),),
            msgspec.msgpack.encode(application),
        )
        limits = Timeouts(_TIMEOUT_SECONDS, _TIMEOUT_SECONDS, _TIMEOUT_SECONDS)
        try:
            async with self._pool.exchange(address, request, limits) as reply:
                body = await reply.read(_MAX_BODY_BYTES)
            return msgspec.msgpack.decode(body, type=PermitReply)
        except (TransportError, OverloadedError, msgspec.DecodeError) as error:
            logger.debug('no permit from {}: {}', address, error)
            return None


class PermitApp:
    """
    Receive the applications of other nodes.

    Parameters
    ----------
    decide : callable
        Decides on an application.

    """

    def __init__(
        self, decide: Callable[[PermitApplication], PermitReply]
    ) -> None:
        self._decide = decide

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request of another node."""
        body = await Request(scope, receive).body()
        try:
            application = msgspec.msgpack.decode(body, type=PermitApplication)
        except msgspec.DecodeError as error:
            logger.warning('application for a permit not understood: {}', error)
            response = Response(status_code=_BAD_REQUEST_STATUS)
        else:
            reply = msgspec.msgpack.encode(self._decide(application))
            response = Response(reply, _OK_STATUS)
        await response(scope, receive, send)


def make_misdirected_reply() -> PermitReply:
    """Return the reply of a node that does not issue the permits."""
    return PermitReply(PermitOutcome.misdirected)
