"""Evidence of crashes that nodes send to each other without the table."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import msgspec
from loguru import logger
from prometheus_client import Counter
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
from ladder_core.messages import decode_msgpack
from ladder_node.peer_calls import MAX_BODY_BYTES, read_body

EVIDENCE_PATH = '/v1/crashes'
_TIMEOUT_SECONDS = 0.5
# The table carries the evidence to nodes beyond this number.
_MAX_PEERS = 100
_OK_STATUS = 200
_BAD_REQUEST_STATUS = 400

_sent_counter = Counter(
    'ladder_crash_notices_total',
    'Notices of crashes that were sent to other nodes, by outcome',
    ('outcome',),
)


class EvidenceRow(msgspec.Struct, frozen=True, array_like=True):
    """
    A row of evidence that the table has not confirmed.

    Attributes
    ----------
    key : str
        Key of the row in the table.
    body : str or None
        Content of the row; None if it is to be removed.

    """

    key: str
    body: str | None


class EvidenceSender(ABC):
    """Sends evidence to the other nodes."""

    @abstractmethod
    async def send(self, rows: Sequence[EvidenceRow]) -> None:
        """Send rows to the nodes that can be reached; none is retried."""


class HttpEvidenceSender(EvidenceSender):
    """
    Send evidence over HTTP to the peer addresses of the other nodes.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the peers.
    list_peers : callable
        Returns the ``ip:port`` of the other nodes, the nearest first.

    """

    def __init__(
        self, pool: ConnectionPool, list_peers: Callable[[], Sequence[str]]
    ) -> None:
        self._pool = pool
        self._list_peers = list_peers

    async def send(self, rows: Sequence[EvidenceRow]) -> None:
        """Send rows to all peers at the same time."""
        body = msgspec.msgpack.encode(rows)
        peers = self._list_peers()[:_MAX_PEERS]
        await asyncio.gather(*(self._send_to(peer, body) for peer in peers))

    async def _send_to(self, peer: str, body: bytes) -> None:
        request = OutgoingRequest(
            b'POST', EVIDENCE_PATH.encode(), ((b'Host', peer.encode()),), body
        )
        limits = Timeouts(_TIMEOUT_SECONDS, _TIMEOUT_SECONDS, _TIMEOUT_SECONDS)
        try:
            async with self._pool.exchange(peer, request, limits) as response:
                await response.read(MAX_BODY_BYTES)
        except (TransportError, OverloadedError) as error:
            _sent_counter.labels(error.kind).inc()
            logger.debug('notice of crashes not sent to {}: {}', peer, error)
            return
        _sent_counter.labels(str(response.status)).inc()


class EvidenceApp:
    """
    Receive evidence from other nodes.

    Parameters
    ----------
    receive_rows : callable
        Applies the rows.

    """

    def __init__(
        self, receive_rows: Callable[[Sequence[EvidenceRow]], None]
    ) -> None:
        self._receive_rows = receive_rows

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request of another node."""
        status = _OK_STATUS
        try:
            rows = decode_msgpack(
                await read_body(Request(scope, receive)), list[EvidenceRow]
            )
        except msgspec.DecodeError as error:
            logger.warning('notice of crashes not understood: {}', error)
            status = _BAD_REQUEST_STATUS
        else:
            self._receive_rows(rows)
        await Response(status_code=status)(scope, receive, send)
