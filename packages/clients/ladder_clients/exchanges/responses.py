"""HTTP response whose body is read as it arrives."""

import asyncio
import io
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from loguru import logger
from prometheus_client import Counter

from ladder_clients.exchanges.errors import (
    ResponseTooLargeError,
    SilentConnectionError,
)
from ladder_clients.exchanges.messages import Header, Timeouts, find_header

HoldResponse = Callable[[int], Awaitable[None]]

# Largest body that `StreamedResponse.read` accepts by default: twice the
# largest object of the store.
_MAX_BODY_BYTES = 16_777_216
# Bytes of a body that is cut which are logged.
_LOGGED_BYTES = 64

_cut_counter = Counter(
    'ladder_responses_cut_total',
    'Responses that were cut because they did not end, by the limit',
    ('limit',),
)


class BodySource(ABC):
    """
    Where the body of a response is read from.

    Attributes
    ----------
    address : str
        ``ip:port`` of the peer.

    """

    address: str

    @abstractmethod
    async def read_chunk(self, read_seconds: float) -> bytes:
        """
        Return the next bytes of the body, or empty bytes at its end.

        Parameters
        ----------
        read_seconds : float
            Longest time without a received byte, in seconds.

        Raises
        ------
        TransportError
            The connection broke, or nothing was received for that long,
            before the end of the body.

        """


class StreamedResponse:
    """
    Head of a response, with methods that read its body.

    Parameters
    ----------
    source : BodySource
        Connection from which the body is read.
    status : int
        HTTP status code.
    headers : tuple of Header
        Header fields as they were received, names in their original case.
    timeouts : Timeouts
        Longest time without a received byte while the body is read, and for a
        whole body.

    Attributes
    ----------
    before_growth : callable or None
        Awaited with the declared size before a whole body is read, and with
        the present size as it grows. Nothing is read meanwhile.

    """

    def __init__(
        self,
        source: BodySource,
        status: int,
        headers: tuple[Header, ...],
        timeouts: Timeouts,
    ) -> None:
        self.before_growth: HoldResponse | None = None
        self.status = status
        self.headers = headers
        self._source = source
        self._timeouts = timeouts
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether the body has been read to its end."""
        return self._is_complete

    def find_header(self, name: bytes) -> str | None:
        """
        Return the value of the first header field with a name, or None.

        Parameters
        ----------
        name : bytes
            Name of the field, in lower case.

        """
        return find_header(self.headers, name)

    async def read_chunk(self) -> bytes:
        """
        Return the next bytes of the body, or empty bytes at its end.

        Raises
        ------
        TransportError
            The connection broke, or nothing was received within the
            time-out, before the end of the body.

        """
        if self._is_complete:
            return b''
        chunk = await self._source.read_chunk(self._timeouts.read_seconds)
        self._is_complete = not chunk
        return chunk

    async def read(self, max_bytes: int = _MAX_BODY_BYTES) -> bytes:
        """
        Read and return the whole body.

        Parameters
        ----------
        max_bytes : int, optional
            Largest size of the body; 16 MiB by default.

        Raises
        ------
        ResponseTooLargeError
            The body is larger than that.
        TransportError
            The body was truncated, or did not end in time.

        """
        # Unlike a bytearray, it is not copied as a whole at the end.
        body = io.BytesIO()
        try:
            async with asyncio.timeout(self._timeouts.body_seconds):
                await self._read_into(body, max_bytes)
        except TimeoutError as error:
            self._record_cut('time', body)
            raise SilentConnectionError(
                f'{self._source.address}: the answer did not end within'
                f' {self._timeouts.body_seconds} s',
                remedy='read back whether the request took effect',
            ) from error
        return body.getvalue()

    async def _read_into(self, body: io.BytesIO, max_bytes: int) -> None:
        before_growth = self.before_growth
        if before_growth is not None:
            declared = self.find_header(b'content-length') or '0'
            await before_growth(min(int(declared), max_bytes))
        while chunk := await self.read_chunk():
            body.write(chunk)
            if before_growth is not None:
                await before_growth(body.tell())
            if body.tell() > max_bytes:
                self._record_cut('size', body)
                raise ResponseTooLargeError(
                    f'{self._source.address}: an answer is over'
                    f' {max_bytes} bytes',
                    remedy='read it in parts',
                )

    def _record_cut(self, limit: str, body: io.BytesIO) -> None:
        """Count and log a response that is cut, with its first bytes."""
        _cut_counter.labels(limit).inc()
        logger.warning(
            'response cut: {} sent status {} and {} bytes of a body, limit {};'
            ' it begins with {}',
            self._source.address,
            self.status,
            body.tell(),
            limit,
            bytes(body.getbuffer()[:_LOGGED_BYTES]),
        )
