"""A small HTTP/1.1 server and client for stand-ins, on asyncio alone."""

import asyncio
import contextlib
from dataclasses import dataclass, field


@dataclass
class Request:
    """A request that was read whole."""

    method: str
    target: str
    headers: dict
    body: bytes
    reader: asyncio.StreamReader = None
    writer: asyncio.StreamWriter = None

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition('?')[0]

    @property
    def query(self):
        """The parameters of the query."""
        from urllib.parse import parse_qsl

        return dict(
            parse_qsl(self.target.partition('?')[2], keep_blank_values=True)
        )


@dataclass
class Response:
    """A response with a length."""

    status: int = 200
    headers: dict = field(default_factory=dict)
    body: bytes = b''


async def read_head(reader):
    """Return the first line and the fields of a message, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, sep, text = line.partition(':')
        if sep:
            fields[name.strip().lower()] = text.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Return a body with a length or in chunks."""
    if 'chunked' in fields.get('transfer-encoding', ''):
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(fields.get('content-length', 0)))


class Server:
    """Serve one handler at one address; a handler may write by itself."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._tasks = set()

    async def start(self, host, port=0):
        """Listen, and return the port."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20, backlog=4096
        )
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop, and close the connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()

    async def _serve_one(self, reader, writer):
        found = await read_head(reader)
        if found is None:
            return False
        line, fields = found
        method, target, _ = line.split(' ', 2)
        body = await read_body(reader, fields)
        request = Request(method, target, fields, body, reader, writer)
        response = await self._handler(request)
        if response is None:
            # The handler has written a response, or closed the connection.
            return not writer.is_closing()
        await write_response(writer, response)
        return True


async def write_response(writer, response):
    """Write a response with a length."""
    lines = [f'HTTP/1.1 {response.status} X']
    lines += [f'{name}: {text}' for name, text in response.headers.items()]
    lines.append(f'Content-Length: {len(response.body)}')
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + response.body)
    await writer.drain()


async def call(
    address, method, target, headers=None, body=b'', seconds=5.0, source=None
):
    """Send one request over a new connection; return status, fields, body."""
    host, _, port = address.rpartition(':')
    lines = [f'{method} {target} HTTP/1.1']
    fields = {'Host': address, **(headers or {})}
    lines += [f'{name}: {text}' for name, text in fields.items()]
    lines.append(f'Content-Length: {len(body)}')
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(
            host,
            int(port),
            limit=1 << 24,
            local_addr=(source, 0) if source else None,
        )
        try:
            writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n')
            writer.write(body)
            await writer.drain()
            found = await read_head(reader)
            if found is None:
                raise ConnectionError('closed without an answer')
            line, got = found
            return int(line.split(' ')[1]), got, await read_body(reader, got)
        finally:
            writer.transport.abort()
