"""HTTP target in the process of the test whose responses a script writes."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

_HEAD_END = b'\r\n\r\n'
_LENGTH_HEADER = 'content-length'


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """
    Request as the target received it.

    Attributes
    ----------
    method, path : str
        Method and path of the request line.
    headers : dict of str to str
        Header fields, with names in lower case.
    body : bytes
        Whole body of the request.

    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class ScriptedTarget:
    """
    Target that records each request and lets a script respond to it.

    A connection serves one request, or any number of them if it is kept open.

    Attributes
    ----------
    script : Script
        Called with each request and the stream to write the response to.
    keeps_connections : bool
        Whether a connection is kept open for further requests.
    received : list of ReceivedRequest
        All requests that arrived, in order, as the ground truth for tests.
    connections : int
        Number of connections accepted so far.

    """

    script: Script
    keeps_connections: bool = False
    received: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Address ``ip:port`` of the target."""
        if self._server is None:
            raise RuntimeError('the target has no address before its start')
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(
            self._accept,
            '127.0.0.1',
            0,
        )

    async def close(self) -> None:
        """Stop listening and cancel the handling of all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self.connections += 1
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # The asyncio server would log a cancelled handler as a failure.
            return
        finally:
            writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = (await reader.readuntil(_HEAD_END)).decode('latin-1')
        lines = head.rstrip().split('\r\n')
        method, path, _ = lines[0].split(' ')
        headers = dict(_split_field(line) for line in lines[1:])
        body = await reader.readexactly(int(headers.get(_LENGTH_HEADER, 0)))
        request = ReceivedRequest(method, path, headers, body)
        self.received.append(request)
        await self.script(request, writer)
        if self.keeps_connections:
            await self._serve(reader, writer)


def format_response(
    body: bytes,
    headers: dict[str, str] | None = None,
    status: int = 200,
) -> bytes:
    """Return the bytes of a whole HTTP response."""
    fields = {_LENGTH_HEADER: str(len(body)), **(headers or {})}
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {text}' for name, text in fields.items())
    return '\r\n'.join(lines).encode() + _HEAD_END + body


def _split_field(line: str) -> tuple[str, str]:
    name, _, text = line.partition(':')
    return name.strip().lower(), text.strip()
