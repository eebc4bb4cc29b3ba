"""Serve relayed exchanges of other nodes."""

import contextlib
from collections.abc import AsyncIterator, Callable

import msgspec
from loguru import logger
from prometheus_client import Counter
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from ladder_clients.exchanges import (
    ConnectionPool,
    OutgoingRequest,
    SilentConnectionError,
    StreamedResponse,
    Timeouts,
    TransportBrokenError,
    TransportError,
    UnreachableError,
)
from ladder_core.errors import (
    LadderError,
    NotRunError,
    OverloadedError,
    TargetLeavingError,
    TargetUnavailableError,
)
from ladder_core.messages import decode_msgpack
from ladder_node.peer_calls import read_body
from ladder_node.replica_paths import ReplicaPaths
from ladder_node.replica_relay.messages import (
    RelayedExchange,
    RelayedHead,
    RelayOutcome,
    encode_head,
)
from ladder_node.replica_relay.observer import ReplicaObserver
from ladder_node.replicas import ReplicaRecord, ReplicaRegistry
from ladder_node.serving import Drain, run_while_connected

_OK_STATUS = 200
_BAD_REQUEST_STATUS = 400
_MAX_BODY_BYTES = 16_777_216
_CONNECT_SECONDS = 0.3
# Exchanges at once for each core of the host.
_EXCHANGES_PER_CORE = 48

_carried_counter = Counter(
    'ladder_replica_exchanges_carried_total',
    'Exchanges with replicas that were made for other nodes, by outcome',
    ('outcome',),
)

FindRequestId = Callable[[StreamedResponse], str | None]


class ReplicaRelayApp:
    """
    Receive requests to replicas from other nodes and send them directly.

    Parameters
    ----------
    pool : ConnectionPool
        Connections of this host to replicas.
    registry : ReplicaRegistry
        Replicas that this node knows; no others are used.
    paths : ReplicaPaths
        Services that this node does not reach either.
    find_request_id : callable
        Returns the id of the request that a response echoes, or None.
    capacity : float
        Processing capacity of this host, in cores of standard speed.
    drain : Drain
        Tells how much time exchanges have before the node stops.
    observer : ReplicaObserver or None, optional
        Is told of the responses, and knows which replicas leave.

    """

    def __init__(
        self,
        pool: ConnectionPool,
        registry: ReplicaRegistry,
        paths: ReplicaPaths,
        find_request_id: FindRequestId,
        capacity: float,
        drain: Drain,
        observer: ReplicaObserver | None = None,
    ) -> None:
        self._pool = pool
        self._registry = registry
        self._paths = paths
        self._find_request_id = find_request_id
        self._max_exchanges = max(int(_EXCHANGES_PER_CORE * capacity), 1)
        self._drain = drain
        self._observer = observer
        self._exchanges = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request of another node."""
        request = Request(scope, receive)
        body = await read_body(request, _MAX_BODY_BYTES)
        try:
            exchange = decode_msgpack(body, RelayedExchange)
        except msgspec.DecodeError as error:
            logger.warning('relayed exchange not understood: {}', error)
            response = Response(status_code=_BAD_REQUEST_STATUS)
            await response(scope, receive, send)
            return
        self._exchanges += 1
        try:
            await run_while_connected(request, self._serve(exchange, send))
        finally:
            self._exchanges -= 1

    async def _serve(self, exchange: RelayedExchange, send: Send) -> Response:
        """Send the head and the body as they arrive; abort a broken body."""
        relayed = _RelayedResponse(send)
        try:
            async with self._open(exchange) as response:
                await relayed.begin(
                    RelayedHead(
                        RelayOutcome.answered,
                        '',
                        response.status,
                        response.headers,
                    )
                )
                while chunk := await response.read_chunk():
                    await relayed.write(chunk)
        except LadderError as error:
            if relayed.has_begun:
                # Without its end the other node takes the response as broken.
                raise
            await relayed.begin(_describe(error))
        await relayed.end()
        return Response()

    @contextlib.asynccontextmanager
    async def _open(
        self, exchange: RelayedExchange
    ) -> AsyncIterator[StreamedResponse]:
        record = self._require(exchange)
        total_seconds, read_seconds = exchange.timeouts
        record.in_flight += 1
        try:
            async with self._pool.exchange(
                record.replica.address,
                OutgoingRequest(
                    exchange.method,
                    exchange.target,
                    exchange.headers,
                    exchange.body,
                ),
                Timeouts(total_seconds, read_seconds, _CONNECT_SECONDS),
                needs_new_connection=exchange.runs_once,
                before_send=lambda: self._check_stays(record),
            ) as response:
                self._check_origin(exchange, response)
                if self._observer is not None:
                    self._observer.record_response(record.replica, response)
                yield response
        finally:
            record.in_flight -= 1

    def _require(self, exchange: RelayedExchange) -> ReplicaRecord:
        """Return the replica if this node may send a request to it."""
        total_seconds, read_seconds = exchange.timeouts
        self._drain.require_time(
            read_seconds if total_seconds is None else total_seconds
        )
        record = self._registry.find(exchange.replica)
        if record is None or record.replica.started_at != exchange.started_at:
            raise TargetUnavailableError(
                f'{exchange.replica} is not listed here',
                remedy='relay the request through another node',
            )
        if self._exchanges > self._max_exchanges:
            raise OverloadedError(
                f'{self._exchanges} relayed exchanges are in progress',
                remedy='relay the request through another node',
            )
        if self._paths.is_lost(record.replica.service):
            raise TargetUnavailableError(
                f'this node does not reach {record.replica.service} either',
                remedy='relay the request through another node',
            )
        if exchange.shares_connections:
            self._check_sharing(record)
        return record

    def _check_sharing(self, record: ReplicaRecord) -> None:
        """Raise if the sender has to use its own connections."""
        if self._observer and self._observer.is_limited(record.replica):
            raise TargetUnavailableError(
                f'{record.name} limits the rate of requests',
                remedy='send the request directly',
            )

    def _check_stays(self, record: ReplicaRecord) -> None:
        """Raise if a replica gets no more requests."""
        is_leaving = record.replica.is_leaving or (
            self._observer is not None
            and self._observer.is_leaving(record.replica)
        )
        if is_leaving or record.has_ended:
            raise TargetLeavingError(
                f'{record.name} leaves or has ended; nothing was sent to it',
                remedy='send the request to another target',
            )

    def _check_origin(
        self, exchange: RelayedExchange, response: StreamedResponse
    ) -> None:
        """Raise if the response is to another request."""
        echoed = self._find_request_id(response)
        if exchange.request_id and echoed not in {None, exchange.request_id}:
            raise TransportBrokenError(
                f'{exchange.replica} answers another request',
                remedy='send the request over another connection',
            )


class _RelayedResponse:
    """Response to another node that is written as it arrives."""

    def __init__(self, send: Send) -> None:
        self.has_begun = False
        self._send = send

    async def begin(self, head: RelayedHead) -> None:
        """Write the head."""
        _carried_counter.labels(head.outcome).inc()
        self.has_begun = True
        await self._send({'type': 'http.response.start', 'status': _OK_STATUS})
        await self.write(encode_head(head))

    async def write(self, chunk: bytes) -> None:
        """Write bytes of the body."""
        await self._send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True}
        )

    async def end(self) -> None:
        """End a body that is whole."""
        await self._send({'type': 'http.response.body', 'body': b''})


def _describe(error: LadderError) -> RelayedHead:
    """Return the head for an exchange that failed before its response."""
    if isinstance(error, UnreachableError | TargetLeavingError):
        return RelayedHead(RelayOutcome.not_sent, error.message)
    if isinstance(error, NotRunError):
        return RelayedHead(RelayOutcome.unable, error.message)
    if isinstance(error, SilentConnectionError):
        return RelayedHead(RelayOutcome.silent, error.message)
    if not isinstance(error, TransportError):
        logger.warning('relayed exchange failed: {}', error)
    return RelayedHead(RelayOutcome.broken, error.message)
