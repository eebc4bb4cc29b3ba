"""Send requests to replicas through other nodes."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager

import msgspec
from prometheus_client import Counter

from ladder_clients.exchanges import (
    BodySource,
    ConnectionPool,
    OutgoingRequest,
    SilentConnectionError,
    StreamedResponse,
    Timeouts,
    TransportBrokenError,
    TransportError,
    UnreachableError,
)
from ladder_clients.replicas import ExchangeTerms
from ladder_core.errors import NotRunError, OverloadedError
from ladder_core.messages import decode_msgpack
from ladder_core.timeline import Timeline
from ladder_core.values import Replica
from ladder_node.replica_paths import RelaySource
from ladder_node.replica_relay.messages import (
    HEAD_LENGTH_BYTES,
    REPLICA_RELAY_PATH,
    RelayedExchange,
    RelayedHead,
    RelayOutcome,
)
from ladder_policy.routing import RelayCandidate

_CONNECT_SECONDS = 0.3
_MAX_NODES = 3
_RETRY_AFTER_SECONDS = 0.2
_MAX_HEAD_BYTES = 1_048_576
_OK_STATUS = 200
# A node of other software answers these; it has sent nothing to the replica.
_UNKNOWN_CALL_STATUSES = frozenset((400, 404, 405))

_relayed_counter = Counter(
    'ladder_replica_exchanges_relayed_total',
    'Exchanges with replicas that were handed to another node, by outcome',
    ('outcome',),
)


class RelayLostError(TransportBrokenError):
    """The node that relays a request broke off before a response."""


class ReplicaRelay:
    """
    Hand exchanges with replicas to nodes that reach them.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to other nodes.
    relays : RelaySource
        Lists the nodes to try.
    timeline : Timeline
        Records through which node each request went.
    max_nodes : int, optional
        Largest number of nodes that are tried for a request.

    """

    def __init__(
        self,
        pool: ConnectionPool,
        relays: RelaySource,
        timeline: Timeline,
        max_nodes: int = _MAX_NODES,
    ) -> None:
        self._pool = pool
        self._relays = relays
        self._timeline = timeline
        self._max_nodes = max_nodes

    @asynccontextmanager
    async def exchange(
        self,
        replica: Replica,
        request: OutgoingRequest,
        timeouts: Timeouts,
        terms: ExchangeTerms,
    ) -> AsyncIterator[StreamedResponse]:
        """
        Send a request through another node and yield the open response.

        Raises
        ------
        UnreachableError
            No node reaches the replica; nothing was sent to it.
        OverloadedError
            No node can relay the request at present; nothing was sent.
        RelayLostError
            The other node broke off; the request may have been executed.
        TransportError
            The exchange failed; the request may have been executed.

        """
        message = RelayedExchange(
            replica.name,
            replica.started_at,
            terms.request_id,
            terms.runs_once,
            (timeouts.total_seconds, timeouts.read_seconds),
            request.method,
            request.target,
            request.headers,
            request.body,
            terms.uses_gateway,
        )
        before_send = call_once(terms.before_send)
        async with AsyncExitStack() as stack:
            yield await self._open(
                stack, replica, message, timeouts, before_send
            )

    async def _open(
        self,
        stack: AsyncExitStack,
        replica: Replica,
        message: RelayedExchange,
        timeouts: Timeouts,
        before_send: Callable[[], None],
    ) -> StreamedResponse:
        """Try one node after the other until one has sent the request."""
        is_attempted = False
        for node in self._choose_nodes(replica.service):
            tried = await self._try_node(
                stack, node, message, timeouts, before_send
            )
            if isinstance(tried, StreamedResponse):
                self._relays.record_success(node.name, replica.service)
                return tried
            is_not_sent = tried is RelayOutcome.not_sent
            is_attempted = is_attempted or is_not_sent
            if is_not_sent and node.has_proved:
                # The replica is the matter, not the path of that node.
                break
            self._relays.record_failure(node.name)
        if is_attempted:
            raise UnreachableError(
                f'no other node reaches {replica.name} either',
                remedy='send the request to another target, or later',
            )
        raise OverloadedError(
            f'no other node can relay a request to {replica.name} now',
            remedy='send the request again later',
            retry_after=_RETRY_AFTER_SECONDS,
        )

    def _choose_nodes(self, service: str) -> list[RelayCandidate]:
        """Return the nodes to try; one if all of them failed just now."""
        relays = self._relays.list_relays(service)
        sound = [node for node in relays if not node.has_failed]
        return sound[: self._max_nodes] or relays[:1]

    async def _try_node(
        self,
        stack: AsyncExitStack,
        node: RelayCandidate,
        message: RelayedExchange,
        timeouts: Timeouts,
        before_send: Callable[[], None],
    ) -> StreamedResponse | RelayOutcome:
        """Return the response, or why nothing was sent to the replica."""
        outcome = RelayOutcome.broken
        try:
            response = await self._open_at(
                stack, node, message, timeouts, before_send
            )
            outcome = RelayOutcome.answered
        except (UnreachableError, OverloadedError) as error:
            is_not_sent = isinstance(error, _ReplicaUnreachableError)
            outcome = (
                RelayOutcome.not_sent if is_not_sent else RelayOutcome.unable
            )
        except NotRunError:
            # This node itself may not send the request to the replica.
            outcome = RelayOutcome.unable
            raise
        except (TransportError, asyncio.CancelledError):
            self._relays.record_interruption(node.name)
            raise
        finally:
            self._record(message, node, outcome)
        return response if outcome is RelayOutcome.answered else outcome

    async def _open_at(
        self,
        stack: AsyncExitStack,
        node: RelayCandidate,
        message: RelayedExchange,
        timeouts: Timeouts,
        before_send: Callable[[], None],
    ) -> StreamedResponse:
        async with AsyncExitStack() as attempt:
            exchange = self._pool.exchange(
                node.address,
                OutgoingRequest(
                    b'POST',
                    REPLICA_RELAY_PATH.encode(),
                    ((b'Host', node.address.encode()),),
                    msgspec.msgpack.encode(message),
                ),
                Timeouts(
                    timeouts.total_seconds,
                    timeouts.read_seconds,
                    _CONNECT_SECONDS,
                ),
                needs_new_connection=message.runs_once,
                before_send=before_send,
            )
            with _mark_broken_relay():
                outer = await attempt.enter_async_context(exchange)
                _check_status(node, outer.status)
                body = _RelayedBody(node.address, outer)
                head = await body.read_head()
            _check_outcome(head)
            stack.push_async_exit(attempt.pop_all())
        return StreamedResponse(body, head.status, head.headers, timeouts)

    def _record(
        self,
        message: RelayedExchange,
        node: RelayCandidate,
        outcome: RelayOutcome,
    ) -> None:
        _relayed_counter.labels(outcome).inc()
        self._timeline.record(
            'exchange-relayed',
            message.request_id,
            replica=message.replica,
            through=node.name,
            outcome=outcome,
        )


class _ReplicaUnreachableError(UnreachableError):
    """Another node could not make a connection to the replica."""


class _RelayedBody(BodySource):
    """Head and body of a relayed response."""

    def __init__(self, address: str, response: StreamedResponse) -> None:
        self.address = address
        self._response = response
        self._buffered = b''

    async def read_head(self) -> RelayedHead:
        """Read and return what precedes the body."""
        length = int.from_bytes(await self._read(HEAD_LENGTH_BYTES), 'big')
        if length > _MAX_HEAD_BYTES:
            raise self._make_error(f'a head of {length} bytes')
        encoded = await self._read(length)
        try:
            return decode_msgpack(encoded, RelayedHead)
        except msgspec.DecodeError as error:
            raise self._make_error(str(error)) from error

    async def read_chunk(self, read_seconds: float) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end."""
        chunk = self._buffered
        self._buffered = b''
        return chunk or await self._response.read_chunk()

    async def _read(self, count: int) -> bytes:
        """Return exactly some number of bytes."""
        while len(self._buffered) < count:
            chunk = await self._response.read_chunk()
            if not chunk:
                raise self._make_error('it ended early')
            self._buffered += chunk
        read = self._buffered[:count]
        self._buffered = self._buffered[count:]
        return read

    def _make_error(self, reason: str) -> TransportBrokenError:
        return TransportBrokenError(
            f'{self.address}: relayed response not understood: {reason}',
            remedy='read back whether the request took effect',
        )


@contextmanager
def _mark_broken_relay() -> Iterator[None]:
    """Raise errors of the exchange with a node as such."""
    try:
        yield
    except TransportBrokenError as error:
        raise RelayLostError(error.message, remedy=error.remedy) from error


def _check_status(node: RelayCandidate, status: int) -> None:
    """Raise if another node has not handled an exchange."""
    if status in _UNKNOWN_CALL_STATUSES:
        raise OverloadedError(
            f'{node.name} does not know the call: {status}',
            remedy='relay the request through another node',
            retry_after=_RETRY_AFTER_SECONDS,
        )
    if status != _OK_STATUS:
        raise TransportBrokenError(
            f'{node.name} failed to relay a request: {status}',
            remedy='read back whether the request took effect',
        )


def _check_outcome(head: RelayedHead) -> None:
    """Raise the error that another node reports for an exchange."""
    if head.outcome is RelayOutcome.not_sent:
        raise _ReplicaUnreachableError(
            head.reason, remedy='relay the request through another node'
        )
    if head.outcome is RelayOutcome.unable:
        raise OverloadedError(
            head.reason,
            remedy='relay the request through another node',
            retry_after=_RETRY_AFTER_SECONDS,
        )
    if head.outcome is not RelayOutcome.answered:
        is_silent = head.outcome is RelayOutcome.silent
        kind = SilentConnectionError if is_silent else TransportBrokenError
        raise kind(
            head.reason, remedy='read back whether the request took effect'
        )


def call_once(callback: Callable[[], None]) -> Callable[[], None]:
    """Return a callable of which only the first call has an effect."""
    pending = [callback]

    def call() -> None:
        while pending:
            pending.pop()()

    return call
