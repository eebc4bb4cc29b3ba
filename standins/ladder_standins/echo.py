"""TCP server that returns each line that it receives."""

import asyncio
from dataclasses import dataclass, field

from ladder_core.supervision import Component


@dataclass
class EchoServer(Component):
    """Server of a test behind a proxy; it closes the streams it accepted."""

    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Address ``ip:port`` of the server."""
        if self._server is None:
            raise RuntimeError('the server has no address before its start')
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(
            self._answer,
            '127.0.0.1',
            0,
        )

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                writer.write(line)
        except ConnectionError:
            return
        finally:
            writer.close()
            self._writers.discard(writer)
