"""TCP proxy in the process of the test that cuts or silences connections."""

import asyncio
import contextlib

from ladder_core.supervision import Component
from ladder_standins.fleet.ports import find_free_ports

_CHUNK_BYTES = 65_536


class _ProxiedConnection:
    """
    Connection of a caller and the matching connection to the target.

    Parameters
    ----------
    caller : asyncio.StreamWriter
        Stream that sends to the caller.
    target : asyncio.StreamWriter
        Stream that sends to the target.

    """

    def __init__(
        self,
        caller: asyncio.StreamWriter,
        target: asyncio.StreamWriter,
    ) -> None:
        self.is_silent = False
        self._caller = caller
        self._target = target

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward bytes; while silent, discard them and keep both ends open."""
        while chunk := await reader.read(_CHUNK_BYTES):
            if not self.is_silent:
                writer.write(chunk)
                await writer.drain()
        if not self.is_silent:
            writer.close()

    def cut(self) -> None:
        """Abort the connections to caller and target at once."""
        self._caller.transport.abort()
        self._target.transport.abort()


class TcpProxy(Component):
    """
    Forward TCP connections to an address.

    Parameters
    ----------
    target_address : str
        Address ``ip:port`` that connections are forwarded to.

    """

    def __init__(self, target_address: str) -> None:
        self._target_address = target_address
        self._port = find_free_ports(1)[0]
        self._connections: set[_ProxiedConnection] = set()
        self._is_refusing = False
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Address ``ip:port`` of the proxy."""
        return f'127.0.0.1:{self._port}'

    async def start(self) -> None:
        """Listen on the address of the proxy."""
        self._server = await asyncio.start_server(
            self._handle_connection,
            '127.0.0.1',
            self._port,
        )

    async def close(self) -> None:
        """Cut all connections and stop listening."""
        self.cut()
        if self._server is not None:
            self._server.close()
            self._server = None

    def silence_open_connections(self) -> None:
        """Silence all open connections permanently; new connections work."""
        for connection in self._connections:
            connection.is_silent = True

    def cut(self) -> None:
        """Cut all connections and refuse new ones until `restore`."""
        self._is_refusing = True
        for connection in tuple(self._connections):
            connection.cut()

    def restore(self) -> None:
        """Accept connections again."""
        self._is_refusing = False

    async def _handle_connection(
        self,
        caller_reader: asyncio.StreamReader,
        caller: asyncio.StreamWriter,
    ) -> None:
        if self._is_refusing:
            caller.transport.abort()
            return
        host, _, port = self._target_address.rpartition(':')
        try:
            target_reader, target = await asyncio.open_connection(host, port)
        except OSError:
            caller.transport.abort()
            return
        connection = _ProxiedConnection(caller, target)
        if self._is_refusing:
            # The cut came while the connection was being made.
            connection.cut()
            return
        self._connections.add(connection)
        with contextlib.suppress(OSError):
            await asyncio.gather(
                connection.copy(caller_reader, target),
                connection.copy(target_reader, caller),
            )
        self._connections.discard(connection)
        connection.cut()
