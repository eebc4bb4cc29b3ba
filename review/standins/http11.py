"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
import contextlib
import socket

HEAD_END = b'\r\n\r\n'
LIMIT = 4 * 1024 * 1024


class Request:
    """A request as it was received, with the streams of its connection."""

    def __init__(self, method, target, headers, body, reader, writer):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer

    @property
    def has_left(self):
        """Whether the caller has closed the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()


async def read_head(reader):
    """Return the first line and the header fields, names in lower case."""
    head = (await reader.readuntil(HEAD_END)).decode('latin-1')
    first, *lines = head.rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers.setdefault(name.strip().lower(), text.strip())
    return first, headers


async def read_chunks(reader):
    """Yield the chunks of a chunked body up to its end."""
    while True:
        size = int((await reader.readline()).split(b';')[0].strip() or b'x', 16)
        chunk = await reader.readexactly(size) if size else b''
        await reader.readline()
        if not size:
            return
        yield chunk


async def read_body(reader, headers):
    """Return the body of a request."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        return b''.join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get('content-length', 0)))


def format_head(status, headers):
    """Return the head of a response."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join(lines).encode('latin-1') + HEAD_END


def format_response(status, headers=None, body=b''):
    """Return the bytes of a whole response."""
    fields = {**(headers or {}), 'Content-Length': str(len(body))}
    return format_head(status, fields) + body


class Server:
    """Serves requests one after the other on each connection."""

    def __init__(self, handle, ip='127.0.0.1'):
        self._handle = handle
        self._ip = ip
        self._server = None
        self._writers = set()
        self.address = ''

    async def start(self, port=0):
        """Listen on a free port, or on a given one."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, port, limit=LIMIT
        )
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{ip}:{port}'

    def crash(self):
        """Refuse new connections, and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ')
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body, reader, writer)
                if not await self._handle(request):
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


def reset(writer):
    """Reset a connection."""
    opened = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
    writer.transport.abort()


class Answer:
    """What a caller got: status 0 if the connection ended without a head."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.error = ''

    def __str__(self):
        if not self.status:
            return f'no answer ({self.error})'
        end = 'whole' if self.is_complete else f'cut ({self.error})'
        return f'{self.status}, {len(self.body)} bytes, {end}'


class Connection:
    """A connection of a caller, which may be used for several requests."""

    def __init__(self, address):
        self.address = address
        self._reader = None
        self._writer = None

    async def send(
        self, method, target, headers, body=b'', seconds=10, on_chunk=None
    ):
        """Send a request; return what came of it within some seconds."""
        answer = Answer()
        try:
            async with asyncio.timeout(seconds):
                await self._open()
                fields = {'Host': self.address, **headers}
                fields['Content-Length'] = str(len(body))
                lines = [f'{method} {target} HTTP/1.1']
                lines += [f'{name}: {text}' for name, text in fields.items()]
                head = '\r\n'.join(lines).encode('latin-1') + HEAD_END
                self._writer.write(head + body)
                await self._writer.drain()
                await self._read(answer, on_chunk)
        except TimeoutError:
            answer.error = f'nothing more within {seconds} s'
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = type(error).__name__
        if (
            not answer.is_complete
            or answer.headers.get('connection') == 'close'
        ):
            self.close()
        return answer

    @property
    def is_open(self):
        """Whether a next request would go over a kept connection."""
        return self._writer is not None and not self._reader.at_eof()

    def close(self):
        """Close the connection if it is open."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _open(self):
        if self.is_open:
            return
        self.close()
        host, _, port = self.address.rpartition(':')
        async with asyncio.timeout(1):
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port), limit=LIMIT
            )

    async def _read(self, answer, on_chunk):
        first, answer.headers = await read_head(self._reader)
        answer.status = int(first.split(' ')[1])
        if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
            async for chunk in read_chunks(self._reader):
                answer.body += chunk
                if on_chunk is not None:
                    on_chunk(chunk)
        else:
            length = int(answer.headers.get('content-length', 0))
            answer.body = await self._reader.readexactly(length)
        answer.is_complete = True


async def call(address, method, target, headers=None, body=b'', seconds=10):
    """Send one request over a connection of its own."""
    connection = Connection(address)
    try:
        return await connection.send(
            method, target, headers or {}, body, seconds
        )
    finally:
        connection.close()
