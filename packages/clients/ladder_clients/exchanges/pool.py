"""
Pool of persistent connections.

Explanation
-----------
A connection carries one exchange at a time. It returns to the pool only after
a response that was read to its end and was not followed by further bytes. A
late response to an earlier request is detected by the caller, who compares the
echoed request id. An idle connection is closed shortly before the peer would
close it. The pool never retries: a failed exchange raises an error, and the
caller decides.

References
----------
RFC 9112, "HTTP/1.1", section 9.3, "Persistence".

"""

import asyncio
import contextlib
import re
from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Collection, Mapping
from dataclasses import dataclass

from prometheus_client import Counter, Gauge

from ladder_clients.exchanges.connection import PersistentConnection
from ladder_clients.exchanges.errors import (
    RefusedError,
    SilentConnectionError,
    UnreachableError,
)
from ladder_clients.exchanges.messages import OutgoingRequest, Timeouts
from ladder_clients.exchanges.observer import (
    ConnectionObserver,
    Reachability,
)
from ladder_clients.exchanges.opener import ConnectionOpener
from ladder_clients.exchanges.responses import StreamedResponse
from ladder_core.errors import OverloadedError
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService

_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout\s*=\s*(\d+)')
_SWEEP_INTERVAL_SECONDS = 1
_RETRY_AFTER_SECONDS = 0.2

_reused_counter = Counter(
    'ladder_connections_reused_total',
    'Exchanges that went over a kept connection',
)
_open_gauge = Gauge(
    'ladder_connections_open',
    'Connections to targets and to the platform that are open',
)


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """
    Limits of the connections of one pool.

    Attributes
    ----------
    max_per_address : int
        Largest number of open connections to one address.
    idle_seconds : float
        Time for which an idle connection is kept if the peer announces no
        keep-alive time-out.
    margin_seconds : float
        Time before the peer's keep-alive time-out at which an idle connection
        is closed.
    dead_path_seconds : float
        Time without an acknowledgement after which the kernel closes a
        connection.

    """

    max_per_address: int = 24
    idle_seconds: float = 4
    margin_seconds: float = 0.5
    dead_path_seconds: float = 3


class ConnectionPool(Component):
    """
    HTTP exchanges over persistent connections, without retries.

    Parameters
    ----------
    timers : TimerService
        Clock of the expiry times; runs the sweep of idle connections.
    limits : PoolLimits, optional
        Limits of the connections; the defaults of `PoolLimits` if absent.

    """

    def __init__(
        self,
        timers: TimerService,
        limits: PoolLimits | None = None,
    ) -> None:
        self._timers = timers
        self._limits = limits or PoolLimits()
        self._idle: dict[str, list[PersistentConnection]] = defaultdict(list)
        self._busy: dict[str, set[PersistentConnection]] = defaultdict(set)
        self._opener = ConnectionOpener(self._limits.dead_path_seconds)
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Start the periodic sweep that closes expired connections."""
        self._periodic_call = self._timers.call_periodically(
            _SWEEP_INTERVAL_SECONDS,
            self._sweep,
        )

    async def close(self) -> None:
        """Stop the sweep and close all connections."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None
        for connections in (*self._idle.values(), *self._busy.values()):
            for connection in connections:
                connection.abort()
        self._idle.clear()
        self._busy.clear()

    def add_observer(self, observer: ConnectionObserver) -> None:
        """Register an observer that is told of each new connection."""
        self._opener.add_observer(observer)

    def list_connections(self, address: str) -> list[PersistentConnection]:
        """Return the open connections to an address."""
        return [*self._idle.get(address, ()), *self._busy.get(address, ())]

    def count_idle(self, address: str) -> int:
        """Return the number of idle connections that can be reused now."""
        self._close_expired(address)
        return len(self._idle[address])

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address that is no longer used."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    async def probe(self, address: str, connect_seconds: float) -> Reachability:
        """Try to make a connection, which is kept for later use."""
        try:
            connection = await self._open(address, connect_seconds)
        except RefusedError:
            return Reachability.refused
        except (UnreachableError, OverloadedError):
            return Reachability.unknown
        self._add_idle(connection, self._limits.idle_seconds)
        return Reachability.reached

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        address: str,
        request: OutgoingRequest,
        timeouts: Timeouts | None = None,
        *,
        needs_new_connection: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> AsyncIterator[StreamedResponse]:
        """
        Send a request and yield the response once its head has arrived.

        Parameters
        ----------
        address : str
            ``ip:port`` of the peer.
        request : OutgoingRequest
            The request to send.
        timeouts : Timeouts, optional
            Time-outs; `total_seconds` covers the exchange up to the head of
            the response, and a whole body may take four times as long. The
            defaults of `Timeouts` apply if absent.
        needs_new_connection : bool, optional
            Whether the request must not reuse a connection.
        before_send : callable, optional
            Called when the connection is there, right before the request is
            written; an error that it raises ends the exchange.

        Yields
        ------
        StreamedResponse
            Response whose body is read within the context. If the body is not
            read to its end, the connection is closed.

        Raises
        ------
        OverloadedError
            Too many connections to the address are open; nothing was sent.
        UnreachableError
            No connection could be made; nothing was sent.
        TransportBrokenError, SilentConnectionError
            The exchange failed; the request may have been executed.

        """
        timeouts = timeouts or Timeouts()
        connection = await self._take(address, timeouts, needs_new_connection)
        try:
            response = await _send(connection, request, timeouts, before_send)
            yield response
            self._keep(connection, response)
        finally:
            self._release(connection)

    async def _take(
        self,
        address: str,
        timeouts: Timeouts,
        needs_new_connection: bool,
    ) -> PersistentConnection:
        self._close_expired(address)
        if self._idle[address] and not needs_new_connection:
            connection = self._idle[address].pop()
            _reused_counter.inc()
        else:
            connection = await self._open(address, timeouts.connect_seconds)
        connection.runs_once = needs_new_connection
        self._busy[address].add(connection)
        return connection

    async def _open(
        self, address: str, connect_seconds: float
    ) -> PersistentConnection:
        idle, busy = self._idle[address], self._busy[address]
        limit = self._limits.max_per_address
        while idle and len(idle) + len(busy) >= limit:
            # The oldest one is the next to be closed by the peer.
            idle.pop(0).abort()
        if len(busy) >= limit:
            raise OverloadedError(
                f'{len(busy)} connections to {address} are in use',
                remedy='send the request to another target',
                retry_after=_RETRY_AFTER_SECONDS,
            )
        # The connection counts towards the limit while it is being made.
        connection = PersistentConnection(
            address, self._timers.now, self._opener.record_broken
        )
        self._busy[address].add(connection)
        try:
            await self._opener.open(connection, connect_seconds)
        finally:
            self._busy[address].discard(connection)
        return connection

    def _release(self, connection: PersistentConnection) -> None:
        """End the use of a connection; close it unless it became idle."""
        self._busy[connection.address].discard(connection)
        if connection not in self._idle[connection.address]:
            connection.abort()
        _update_gauge(self._idle, self._busy)

    def _keep(
        self, connection: PersistentConnection, response: StreamedResponse
    ) -> None:
        if not response.is_complete or not connection.finish_exchange():
            return
        announced = _KEEP_ALIVE_TIMEOUT.search(
            response.find_header(b'keep-alive') or ''
        )
        idle_seconds = (
            float(announced[1]) if announced else self._limits.idle_seconds
        )
        self._add_idle(connection, idle_seconds)

    def _add_idle(
        self, connection: PersistentConnection, idle_seconds: float
    ) -> None:
        keep_seconds = max(
            idle_seconds - self._limits.margin_seconds, idle_seconds / 2
        )
        connection.expires_at = self._timers.now() + keep_seconds
        self._idle[connection.address].append(connection)

    def _close_expired(self, address: str) -> None:
        now = self._timers.now()
        usable = []
        for connection in self._idle[address]:
            if connection.is_usable and now < connection.expires_at:
                usable.append(connection)
            else:
                connection.abort()
        self._idle[address] = usable

    async def _sweep(self) -> None:
        for address in tuple(self._idle):
            self._close_expired(address)
            if not self._idle[address]:
                self._idle.pop(address)
        for address in tuple(self._busy):
            if not self._busy[address]:
                self._busy.pop(address)
        _update_gauge(self._idle, self._busy)


async def _send(
    connection: PersistentConnection,
    request: OutgoingRequest,
    timeouts: Timeouts,
    before_send: Callable[[], None] | None,
) -> StreamedResponse:
    if before_send is not None:
        before_send()
    try:
        async with asyncio.timeout(timeouts.head_seconds):
            connection.send(request)
            head = await connection.read_head(timeouts.read_seconds)
    except TimeoutError as error:
        raise SilentConnectionError(
            f'{connection.address}: no answer within {timeouts.head_seconds} s',
            remedy='read back whether the request took effect',
        ) from error
    headers = tuple(
        (bytes(name), bytes(text)) for name, text in head.headers.raw_items()
    )
    return StreamedResponse(connection, head.status_code, headers, timeouts)


def _update_gauge(
    *groups: Mapping[str, Collection[PersistentConnection]],
) -> None:
    _open_gauge.set(
        sum(
            len(connections)
            for group in groups
            for connections in group.values()
        )
    )
