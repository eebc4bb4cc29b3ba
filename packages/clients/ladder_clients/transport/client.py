"""The HTTP client over aiohttp, without any retry of its own."""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp

from ladder_clients.exchanges.errors import (
    SilentConnectionError,
    TransportBrokenError,
    TransportError,
    UnreachableError,
)
from ladder_clients.exchanges.messages import Timeouts
from ladder_clients.transport.single_send import (
    BrokenExchangeError,
    Progress,
    make_trace,
    send_once,
)
from ladder_clients.transport.sockets import make_socket
from ladder_core.supervision import Service

ORIGIN_HEADER = 'x-origin'


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """
    A whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Header fields, names in lower case.
    body : bytes
        The body.

    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient(Service):
    """
    Exchanges over HTTP, each tried exactly once.

    Parameters
    ----------
    origin : str, optional
        Region and data centre of this process, ``region/data-centre``, that
        every request names in `ORIGIN_HEADER`.

    Notes
    -----
    Every exchange runs on a connection of its own, which is closed after it,
    so no late answer can reach another request. aiohttp also sends idempotent
    methods a second time by itself when the connection closes without an
    answer, even a fresh one. A middleware turns the error into one of this
    package, which aiohttp does not handle, so nothing is sent twice.

    """

    def __init__(self, origin: str = '') -> None:
        self._origin = origin
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        connector = aiohttp.TCPConnector(
            force_close=True,
            limit=0,
            socket_factory=make_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            middlewares=(send_once,),
            trace_configs=[make_trace()],
            headers={ORIGIN_HEADER: self._origin} if self._origin else None,
        )

    async def close(self) -> None:
        """Close the session and its connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def fetch(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        timeouts: Timeouts | None = None,
    ) -> HttpResponse:
        """
        Send a request and read the whole answer.

        Parameters
        ----------
        method : str
            HTTP method.
        url : str
            Absolute URL.
        body : bytes, optional
            Request body.
        headers : dict of str to str, optional
            Header fields of the request.
        timeouts : Timeouts, optional
            Limits of the exchange.

        Returns
        -------
        Answer
            The answer, whatever its status.

        Raises
        ------
        UnreachableError
            No connection could be made; the request was not sent.
        TransportBrokenError
            The connection broke; the request may have been executed.
        SilentConnectionError
            A limit passed; the request may have been executed.

        """
        limits = timeouts or Timeouts()
        async with self._exchange(method, url, body, headers, limits) as reply:
            payload = await reply.read()
            fields = {
                name.lower(): text for name, text in reply.headers.items()
            }
            return HttpResponse(reply.status, fields, payload)
        raise AssertionError('the exchange either yields or raises')

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        timeouts: Timeouts | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """
        Send a request and hand out the open answer.

        Parameters
        ----------
        method, url, body, headers
            As for `fetch`.
        timeouts : Timeouts, optional
            Limits; `total` is usually None for a stream.

        Yields
        ------
        aiohttp.ClientResponse
            The answer, whose ``content`` is read inside the context.

        Raises
        ------
        TransportError
            As for `fetch`, also while the body is read.

        """
        limits = timeouts or Timeouts(total_seconds=None)
        async with self._exchange(method, url, body, headers, limits) as reply:
            yield reply

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: dict[str, str] | None,
        limits: Timeouts,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        if self._session is None:
            raise RuntimeError('start the client before its first exchange')
        options = aiohttp.ClientTimeout(
            total=limits.total_seconds,
            sock_connect=limits.connect_seconds,
            sock_read=limits.read_seconds,
        )
        progress = Progress()
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                headers=headers,
                timeout=options,
                allow_redirects=False,
                trace_request_ctx=progress,
            ) as reply:
                yield reply
        except BrokenExchangeError as broken:
            raise _translate(url, broken.cause, progress) from broken
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _translate(url, error, progress) from error


def _translate(
    url: str,
    error: Exception,
    progress: Progress,
) -> TransportError:
    if not progress.is_connected:
        return UnreachableError(
            f'{url}: no connection: {error}',
            remedy='check that the host is up; try another one',
        )
    if isinstance(error, TimeoutError):
        return SilentConnectionError(
            f'{url}: nothing received within the limit',
            remedy='read back whether the request took effect',
        )
    return TransportBrokenError(
        f'{url}: connection broke: {error!r}',
        remedy='read back whether the request took effect',
    )
