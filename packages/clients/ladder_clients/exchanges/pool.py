"""
Connections that are kept for further exchanges.

Explanation
-----------
A kept connection is used for one exchange at a time. It is kept only after
an answer that was read whole and left no byte behind; a late answer to an
earlier request is recognized by its caller, who compares the echoed id. It
is dropped a margin before the other end would close it. Nothing is sent a
second time here: an exchange that fails raises, and the caller decides.

References
----------
RFC 9112, "HTTP/1.1", section 9.3, "Persistence".

"""

import asyncio
import contextlib
import re
import socket
from collections import defaultdict
from collections.abc import AsyncIterator
from dataclasses import dataclass

from prometheus_client import Counter, Gauge

from ladder_clients.exchanges.connection import PersistentConnection
from ladder_clients.exchanges.errors import (
    SilentConnectionError,
    UnreachableError,
)
from ladder_clients.exchanges.messages import OutgoingRequest, Timeouts
from ladder_clients.exchanges.responses import StreamedResponse
from ladder_core.errors import OverloadedError
from ladder_core.supervision import Service
from ladder_core.timers import Subscription, TimerService

_KEEP_ALIVE = re.compile(r'timeout\s*=\s*(\d+)')
_SWEEP_SECONDS = 1
_RETRY_SECONDS = 0.2

_opened_counter = Counter(
    'ladder_connections_opened_total',
    'Connections made to targets and to the platform',
)
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
    per_address : int
        Largest number of open connections to one address.
    idle_seconds : float
        Time for which a connection is kept if the other end names none.
    margin_seconds : float
        Time by which a connection is dropped before the other end closes it.
    dead_path_seconds : float
        Time without an acknowledgement after which the kernel gives a path
        up.

    """

    per_address: int = 24
    idle_seconds: float = 4
    margin_seconds: float = 0.5
    dead_path_seconds: float = 3


class ConnectionPool(Service):
    """
    Exchanges over kept connections, each tried exactly once.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    limits : PoolLimits, optional
        Limits of the connections.

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
        self._subscription: Subscription | None = None

    async def start(self) -> None:
        """Begin to drop connections that were idle for too long."""
        self._subscription = self._timers.subscribe(
            _SWEEP_SECONDS,
            self._sweep,
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._subscription is not None:
            await self._subscription.close()
            self._subscription = None
        for connections in (*self._idle.values(), *self._busy.values()):
            for connection in connections:
                connection.abort()
        self._idle.clear()
        self._busy.clear()

    def count_idle(self, address: str) -> int:
        """Return how many kept connections to an address can be used now."""
        self._drop_stale(address)
        return len(self._idle[address])

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address that is gone."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        address: str,
        request: OutgoingRequest,
        timeouts: Timeouts | None = None,
        *,
        needs_new_connection: bool = False,
    ) -> AsyncIterator[StreamedResponse]:
        """
        Send a request and hand out the answer when its head is there.

        Parameters
        ----------
        address : str
            ``ip:port`` of the other end.
        request : OutgoingRequest
            The request.
        timeouts : Timeouts, optional
            Limits; `total` covers the head of the answer.
        needs_new_connection : bool, optional
            Whether the request must not go over a kept connection.

        Yields
        ------
        StreamedResponse
            Read within the context; if it is not read to its end, the
            connection is closed.

        Raises
        ------
        OverloadedError
            Too many connections to the address are open; nothing was sent.
        UnreachableError
            No connection could be made; nothing was sent.
        TransportBrokenError, SilentConnectionError
            The exchange failed; the request may have run.

        """
        limits = timeouts or Timeouts()
        connection = await self._take(address, limits, needs_new_connection)
        try:
            answer = await _send(connection, request, limits)
            yield answer
            self._keep(connection, answer)
        finally:
            self._give_back(connection)

    async def _take(
        self,
        address: str,
        limits: Timeouts,
        needs_new_connection: bool,
    ) -> PersistentConnection:
        self._drop_stale(address)
        if self._idle[address] and not needs_new_connection:
            connection = self._idle[address].pop()
            _reused_counter.inc()
        else:
            connection = await self._open(address, limits)
        self._busy[address].add(connection)
        return connection

    async def _open(
        self, address: str, limits: Timeouts
    ) -> PersistentConnection:
        count = len(self._idle[address]) + len(self._busy[address])
        if count >= self._limits.per_address:
            raise OverloadedError(
                f'{count} connections to {address} are open',
                remedy='send the request to another target',
                retry_after=_RETRY_SECONDS,
            )
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        # A place is held while the connection is made.
        connection = PersistentConnection(address)
        self._busy[address].add(connection)
        try:
            async with asyncio.timeout(limits.connect_seconds):
                transport, _ = await loop.create_connection(
                    lambda: connection,
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            raise UnreachableError(
                f'{address}: no connection: {error!r}',
                remedy='check that the host is up; try another one',
            ) from error
        finally:
            self._busy[address].discard(connection)
        self._tune(transport.get_extra_info('socket'))
        _opened_counter.inc()
        return connection

    def _tune(self, opened: socket.socket) -> None:
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(self._limits.dead_path_seconds * 1000),
        )

    def _give_back(self, connection: PersistentConnection) -> None:
        """Close a connection that is not kept."""
        self._busy[connection.address].discard(connection)
        if connection not in self._idle[connection.address]:
            connection.abort()
        self._note_open()

    def _keep(
        self, connection: PersistentConnection, answer: StreamedResponse
    ) -> None:
        if not answer.is_complete or not connection.finish_exchange():
            return
        promised = _KEEP_ALIVE.search(answer.find_header(b'keep-alive') or '')
        idle = float(promised[1]) if promised else self._limits.idle_seconds
        keep = max(idle - self._limits.margin_seconds, idle / 2)
        connection.expires_at = self._timers.now() + keep
        self._idle[connection.address].append(connection)

    def _drop_stale(self, address: str) -> None:
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
            self._drop_stale(address)
            if not self._idle[address]:
                self._idle.pop(address)
        for address in tuple(self._busy):
            if not self._busy[address]:
                self._busy.pop(address)
        self._note_open()

    def _note_open(self) -> None:
        groups = (*self._idle.values(), *self._busy.values())
        _open_gauge.set(sum(len(group) for group in groups))


async def _send(
    connection: PersistentConnection,
    request: OutgoingRequest,
    limits: Timeouts,
) -> StreamedResponse:
    try:
        async with asyncio.timeout(limits.total_seconds):
            connection.send(request)
            head = await connection.read_head(limits.read_seconds)
    except TimeoutError as error:
        raise SilentConnectionError(
            f'{connection.address}: no answer within {limits.total_seconds} s',
            remedy='read back whether the request took effect',
        ) from error
    headers = tuple(
        (bytes(name), bytes(text)) for name, text in head.headers.raw_items()
    )
    return StreamedResponse(
        connection, head.status_code, headers, limits.read_seconds
    )
