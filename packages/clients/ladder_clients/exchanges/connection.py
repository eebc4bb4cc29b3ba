"""
One persistent connection to a target.

References
----------
RFC 9112, "HTTP/1.1", section 9, "Connection Management".

"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import h11

from ladder_clients.exchanges.errors import (
    SilentConnectionError,
    TransportBrokenError,
    TransportError,
)
from ladder_clients.exchanges.messages import OutgoingRequest
from ladder_clients.exchanges.parts import PART_BYTES, PartWriter
from ladder_clients.exchanges.responses import BodySource

_REMEDY = 'read back whether the request took effect'
# Reading pauses while more received bytes than this wait for the parser, so
# that TCP flow control slows the peer down.
_MAX_BUFFERED_BYTES = 32_768
# Bytes that are read at once; asyncio reads 256 KiB.
_READ_BYTES = 32_768
# Interim responses (1xx) before the response; more are no protocol.
_MAX_INTERIM_RESPONSES = 16


class PersistentConnection(PartWriter, BodySource):
    """
    HTTP/1.1 connection that carries one exchange at a time.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer.
    read_clock : callable
        Returns the time in seconds by which silences are measured.
    on_broken : callable
        Called if the connection ends with an error.

    Attributes
    ----------
    requested_at : float
        Time at which the latest request was written.
    received_at : float
        Time at which bytes were received last, or of the connection itself.
    runs_once : bool
        Whether the request in flight must not be sent again.

    Notes
    -----
    Bytes that arrive while no exchange is in flight belong to no request, so
    the connection is closed. It is also closed after a response that is
    broken, cancelled or truncated.

    """

    def __init__(
        self,
        address: str,
        read_clock: Callable[[], float],
        on_broken: Callable[[str], None],
    ) -> None:
        super().__init__(h11.Connection(h11.CLIENT))
        self.address = address
        self.requested_at = read_clock()
        self.received_at = self.requested_at
        self.expires_at: float = 0
        self.has_served = False
        self.runs_once = False
        self._read_clock = read_clock
        self._on_broken = on_broken
        self._failure: TransportError | None = None
        self._wakeup = asyncio.Event()
        self._received = bytearray()
        self._error: Exception | None = None
        self._is_closed = False
        self._is_idle = True

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and no exchange is in flight."""
        return not self._is_closed and self._is_idle

    @property
    def is_open(self) -> bool:
        """Whether the connection was made and has not ended."""
        return self._transport is not None and not self._is_closed

    @property
    def silent_since(self) -> float | None:
        """Time from which an exchange waits for bytes; None without one."""
        if self._is_idle or not self.is_open:
            return None
        return max(self.requested_at, self.received_at)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = cast('asyncio.Transport', transport)
        cast('Any', transport).max_size = _READ_BYTES
        self.received_at = self._read_clock()

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; close the connection if it is idle."""
        if self._is_idle:
            self.abort()
            return
        self.received_at = self._read_clock()
        self._received += data
        if len(self._received) > _MAX_BUFFERED_BYTES and self._transport:
            self._transport.pause_reading()
        self._wakeup.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the error, and wake the exchange that waits for bytes."""
        self._is_closed = True
        self.drop_body()
        self._error = exc
        self._wakeup.set()
        if exc is not None:
            self._on_broken(self.address)

    def send(self, request: OutgoingRequest) -> None:
        """
        Write a request to the connection.

        A large body is written as fast as the peer takes it, also after the
        return.

        Parameters
        ----------
        request : OutgoingRequest
            Request to send; its content length is added to the header.

        Raises
        ------
        TransportBrokenError
            The connection closed before the request was written.

        """
        if self._transport is None or self._is_closed:
            raise TransportBrokenError(
                f'{self.address}: the connection is closed',
                remedy='send the request over another connection',
            )
        self._is_idle = False
        self.requested_at = self._read_clock()
        headers = [
            *request.headers,
            (b'Content-Length', str(len(request.body)).encode()),
        ]
        events: list[h11.Event] = [
            h11.Request(
                method=request.method,
                target=request.target,
                headers=headers,
            ),
        ]
        if len(request.body) > PART_BYTES:
            self.write(events)
            self.begin_body(request.body)
            return
        if request.body:
            events.append(h11.Data(data=request.body))
        events.append(h11.EndOfMessage())
        self.write(events)

    async def read_head(self, read_seconds: float) -> h11.Response:
        """
        Wait for the head of the response and return it.

        Parameters
        ----------
        read_seconds : float
            Longest time without a received byte, in seconds.

        Raises
        ------
        TransportError
            The connection broke, nothing was received for that long, or only
            interim responses came.

        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event(read_seconds)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise _make_broken_error(
                    self.address, 'it closed without an answer'
                )
        raise _make_broken_error(
            self.address, 'interim responses came without end'
        )

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
        event = await self._next_event(read_seconds)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise _make_broken_error(self.address, 'the answer was cut')

    def finish_exchange(self) -> bool:
        """
        End an exchange whose response was read to its end.

        Returns
        -------
        bool
            True if the connection can be reused; otherwise it was closed.

        """
        states = (self._http.our_state, self._http.their_state)
        has_surplus = self._received or self._http.trailing_data[0]
        if self._is_closed or has_surplus or states != (h11.DONE, h11.DONE):
            self.abort()
            return False
        self._http.start_next_cycle()
        self.has_served = True
        self._is_idle = True
        return True

    def abort(self, error: TransportError | None = None) -> None:
        """
        Close the connection at once; unsent and unread bytes are lost.

        Parameters
        ----------
        error : TransportError, optional
            Ends the exchange in flight, after the bytes received before.

        """
        # Without an error, a body without a length would count as whole.
        if self._failure is None:
            self._failure = error or _make_broken_error(
                self.address, 'this host closed it'
            )
        self._is_closed = True
        self.drop_body()
        if self._transport is not None:
            self._transport.abort()
        self._wakeup.set()

    async def _next_event(
        self, read_seconds: float
    ) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise _make_broken_error(self.address, str(error)) from error
            if event is not h11.NEED_DATA:
                return cast('h11.Event', event)
            await self._receive(read_seconds)

    async def _receive(self, read_seconds: float) -> None:
        """Pass received bytes to the parser; wait if there are none."""
        if not self._received and not self._is_closed:
            await self._wait(read_seconds)
        if not self._received:
            self._raise_failure()
        received = bytes(self._received)
        self._received.clear()
        if self._transport is not None and not self._is_closed:
            self._transport.resume_reading()
        self._http.receive_data(received)

    def _raise_failure(self) -> None:
        """Raise the error of a connection that failed, if it did."""
        if self._failure is not None:
            raise self._failure
        if self._error is not None:
            raise _make_broken_error(self.address, repr(self._error))

    async def _wait(self, read_seconds: float) -> None:
        self._wakeup.clear()
        try:
            async with asyncio.timeout(read_seconds):
                await self._wakeup.wait()
        except TimeoutError as error:
            raise SilentConnectionError(
                f'{self.address}: nothing received for {read_seconds} s',
                remedy=_REMEDY,
            ) from error


def _make_broken_error(address: str, reason: str) -> TransportBrokenError:
    return TransportBrokenError(
        f'{address}: connection broke: {reason}', remedy=_REMEDY
    )
