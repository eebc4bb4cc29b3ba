"""TCP proxy in the process of the test that cuts or silences connections."""

import asyncio
import socket
import struct
from enum import StrEnum, auto

from ladder_core.supervision import Component
from ladder_standins.fleet.ports import find_free_ports

_CHUNK_BYTES = 65_536
_LOOPBACK = '127.0.0.1'
# More than a queue of length zero accepts.
_QUEUE_FILLERS = 4
# Lets a close reset the connection.
_RESET = struct.pack('ii', 1, 0)


class PathLoss(StrEnum):
    """
    Form in which a host loses its path to a target.

    Attributes
    ----------
    hang
        Open connections fall silent, and new ones get no answer.
    reset
        Open connections are reset, and new ones refused.
    refuse
        Open connections live on, and new ones are refused.

    """

    hang = auto()
    reset = auto()
    refuse = auto()


class SilentListener:
    """
    Socket whose queue is full, so that connections to it are never made.

    Parameters
    ----------
    port : int
        Port of the loopback address.

    """

    def __init__(self, port: int) -> None:
        listener = _bind(port)
        listener.listen(0)
        self._sockets = [listener]
        for _ in range(_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((_LOOPBACK, port))
            self._sockets.append(filler)

    def close(self) -> None:
        """Close the socket; connections that wait for it are reset."""
        for opened in self._sockets:
            opened.close()


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

    def reset(self) -> None:
        """Reset the connection to the caller, and abort the other one."""
        opened = self._caller.get_extra_info('socket')
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.cut()

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
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_refusing = False
        self._server: asyncio.Server | None = None
        self._silent_listener: SilentListener | None = None
        self._reservation: socket.socket | None = None

    @property
    def address(self) -> str:
        """Address ``ip:port`` of the proxy."""
        return f'{_LOOPBACK}:{self._port}'

    async def start(self) -> None:
        """Listen on the address of the proxy."""
        self._close_silent_listener()
        self._server = await asyncio.start_server(
            self._handle_connection,
            _LOOPBACK,
            self._port,
        )
        self._release_port()

    async def close(self) -> None:
        """Cut all connections, stop listening and release the port."""
        self.stop_listening()
        # The cut does not reach connections that are being made.
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._release_port()

    def stop_listening(self) -> None:
        """Cut all connections and refuse new ones until the next start."""
        self.cut()
        self._close_server()

    def silence_open_connections(self) -> None:
        """Silence all open connections permanently; new connections work."""
        for connection in self._connections:
            connection.is_silent = True

    async def strand(self, form: PathLoss) -> None:
        """Lose the path to the target until `restore_path`."""
        self._close_server()
        if form is PathLoss.hang:
            self._silent_listener = SilentListener(self._port)
            self.silence_open_connections()
        if form is PathLoss.reset:
            self._is_refusing = True
            for connection in tuple(self._connections):
                connection.reset()

    async def restore_path(self) -> None:
        """Accept connections again, and forward them."""
        self.restore()
        if self._server is None:
            await self.start()

    def cut(self) -> None:
        """Cut all connections and refuse new ones until `restore`."""
        self._is_refusing = True
        for connection in tuple(self._connections):
            connection.cut()

    def restore(self) -> None:
        """Accept connections again."""
        self._is_refusing = False

    def _close_server(self) -> None:
        """Stop listening; the port stays reserved, so that no one takes it."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._close_silent_listener()
        if self._reservation is None:
            self._reservation = _bind(self._port)

    def _release_port(self) -> None:
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None

    def _close_silent_listener(self) -> None:
        if self._silent_listener is not None:
            self._silent_listener.close()
            self._silent_listener = None

    async def _handle_connection(
        self,
        caller_reader: asyncio.StreamReader,
        caller: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            await self._forward(caller_reader, caller)
        except (OSError, asyncio.CancelledError):
            # The asyncio server would log a cancelled handler as a failure.
            return
        finally:
            caller.transport.abort()

    async def _forward(
        self,
        caller_reader: asyncio.StreamReader,
        caller: asyncio.StreamWriter,
    ) -> None:
        if self._is_refusing:
            return
        host, _, port = self._target_address.rpartition(':')
        target_reader, target = await asyncio.open_connection(host, port)
        connection = _ProxiedConnection(caller, target)
        self._connections.add(connection)
        try:
            # A cut may have come while the connection was being made.
            if not self._is_refusing:
                await asyncio.gather(
                    connection.copy(caller_reader, target),
                    connection.copy(target_reader, caller),
                )
        finally:
            self._connections.discard(connection)
            connection.cut()


def _bind(port: int) -> socket.socket:
    """Return a socket that has a port of the loopback address."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((_LOOPBACK, port))
    return bound
