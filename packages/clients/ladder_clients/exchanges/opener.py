"""Making of connections."""

import asyncio
import socket

from prometheus_client import Counter

from ladder_clients.addresses import split_address
from ladder_clients.exchanges.connection import PersistentConnection
from ladder_clients.exchanges.dead_paths import detect_dead_path
from ladder_clients.exchanges.errors import RefusedError, UnreachableError
from ladder_clients.exchanges.observer import ConnectionObserver

_opened_counter = Counter(
    'ladder_connections_opened_total',
    'Connections made to targets and to the platform',
)


class ConnectionOpener:
    """
    Make connections, and tell observers what came of it.

    Parameters
    ----------
    dead_path_seconds : float
        Time without an acknowledgement after which the kernel closes a
        connection.

    """

    def __init__(self, dead_path_seconds: float) -> None:
        self._dead_path_seconds = dead_path_seconds
        self._observers: list[ConnectionObserver] = []

    def add_observer(self, observer: ConnectionObserver) -> None:
        """Register an observer that is told of each attempt."""
        self._observers.append(observer)

    def record_broken(self, address: str) -> None:
        """Tell the observers that a connection ended with an error."""
        for observer in self._observers:
            observer.record_broken(address)

    async def open(
        self, connection: PersistentConnection, timeout_seconds: float
    ) -> None:
        """
        Make a connection to the address of a protocol.

        Raises
        ------
        RefusedError
            No process listens at the address.
        UnreachableError
            No connection could be made in time.

        """
        address = connection.address
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(timeout_seconds):
                transport, _ = await loop.create_connection(
                    lambda: connection, host, port
                )
        except (OSError, TimeoutError, ValueError) as error:
            for observer in self._observers:
                observer.record_unreachable(address, error)
            raise _choose_error(error)(
                f'{address}: no connection: {error!r}',
                remedy='check that the host is up; try another one',
            ) from error
        self._set_socket_options(transport.get_extra_info('socket'))
        _opened_counter.inc()
        for observer in self._observers:
            observer.record_connected(address)

    def _set_socket_options(self, opened: socket.socket) -> None:
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        detect_dead_path(opened, self._dead_path_seconds)


def _choose_error(error: Exception) -> type[UnreachableError]:
    if isinstance(error, ConnectionRefusedError):
        return RefusedError
    return UnreachableError
