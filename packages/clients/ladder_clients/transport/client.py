"""HTTP client over aiohttp that never retries."""

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
from ladder_core.supervision import Component

ORIGIN_HEADER = 'x-origin'


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """
    An HTTP response with its whole body.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Header fields, names in lower case.
    body : bytes
        The whole body, still encoded if it has a content encoding.

    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient(Component):
    """
    HTTP exchanges, each attempted exactly once.

    Parameters
    ----------
    origin : str, optional
        Region and data centre of this process, ``region/data-centre``, which
        every request sends in the header field `ORIGIN_HEADER`.

    Notes
    -----
    Every exchange uses a connection of its own that is closed afterwards, so
    a late response cannot reach another request. aiohttp itself resends a
    request with an idempotent method when the connection closes without a
    response, even if the connection is new. A middleware converts the error
    into one of this package, which aiohttp does not handle, so that nothing is
    sent twice.

    """

    def __init__(self, origin: str = '') -> None:
        self._origin = origin
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session of aiohttp."""
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
        Send a request and read the whole response.

        Parameters
        ----------
        method : str
            HTTP method.
        url : str
            Absolute URL.
        body : bytes, optional
            Request body; empty by default.
        headers : dict of str to str, optional
            Header fields that are sent beside those of the session.
        timeouts : Timeouts, optional
            Time-outs of the exchange, up to the end of the body; the defaults
            of `Timeouts` if absent.

        Returns
        -------
        HttpResponse
            The response, whatever its status; redirects are not followed.

        Raises
        ------
        UnreachableError
            No connection could be made; the request was not sent.
        TransportBrokenError
            The connection broke; the request may have been executed.
        SilentConnectionError
            A time-out expired; the request may have been executed.

        """
        timeouts = timeouts or Timeouts()
        async with self._exchange(
            method, url, body, headers, timeouts
        ) as response:
            payload = await response.read()
            fields = {
                name.lower(): text for name, text in response.headers.items()
            }
            return HttpResponse(response.status, fields, payload)
        raise AssertionError('exchange() neither yielded a response nor raised')

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
        Send a request and yield the response once its head has arrived.

        Parameters
        ----------
        method, url, body, headers
            As for `fetch`.
        timeouts : Timeouts, optional
            Time-outs of the exchange; without a limit on its total duration
            by default.

        Yields
        ------
        aiohttp.ClientResponse
            The response, whose ``content`` is read inside the context.

        Raises
        ------
        TransportError
            As for `fetch`; also raised while the body is read.

        """
        timeouts = timeouts or Timeouts(total_seconds=None)
        async with self._exchange(
            method, url, body, headers, timeouts
        ) as response:
            yield response

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: dict[str, str] | None,
        timeouts: Timeouts,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        if self._session is None:
            raise RuntimeError('the HTTP client has not been started')
        options = aiohttp.ClientTimeout(
            total=timeouts.total_seconds,
            sock_connect=timeouts.connect_seconds,
            sock_read=timeouts.read_seconds,
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
            ) as response:
                yield response
        except BrokenExchangeError as broken:
            raise _make_transport_error(url, broken.cause, progress) from broken
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _make_transport_error(url, error, progress) from error


def _make_transport_error(
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
