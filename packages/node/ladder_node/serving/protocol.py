"""HTTP/1.1 connection of a client, with bounds on what it holds."""

import asyncio
import logging
import re
from abc import ABC, abstractmethod
from typing import Any, cast

import h11
from uvicorn.config import Config
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol
from uvicorn.server import ServerState

from ladder_node.serving.guard import ClientConnection, ClientGuard, Phase
from ladder_node.serving.rejections import Reason

# Name under which the ASGI scope's state holds the connection.
CONNECTION_STATE = 'connection'
_HEAD_END = re.compile(rb'\n\r?\n')
_HEADERS_TOO_LARGE_STATUS = 431
_HEADERS_TOO_LARGE_RESPONSE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
_ANSWERABLE_STATES = (h11.IDLE, h11.SEND_RESPONSE)
_DISCARD_SECONDS = 1
# Bytes that are read from a connection at once; asyncio reads 256 KiB.
_READ_BYTES = 65_536
# Bytes of pipelined requests that wait for the one in progress.
_MAX_PIPELINED_BYTES = 65_536
# Parts of requests (heads, pieces of bodies, ends) that are parsed at once.
_SLICE_EVENTS = 64
# A larger head may have many fields, and is parsed in a turn of its own.
_MAX_PROMPT_HEAD_BYTES = 4096

_logger = logging.getLogger('uvicorn.error.bounded')
_logger.setLevel(logging.ERROR)


class _BoundedHttp(h11.Connection):
    """
    Parser of requests that bounds their heads.

    Explanation
    -----------
    h11 bounds a head only while it is incomplete, so that one that is received
    whole is parsed at any size. The fields may have as many bytes as the limit,
    and the request line as many again.

    Events are parsed in slices. At the end of a slice the parser asks for data
    though it may have some left.

    """

    def __init__(self, max_header_bytes: int) -> None:
        super().__init__(h11.SERVER, 2 * max_header_bytes)
        self.error_status: int | None = None
        self.is_cut = False
        self._max_header_bytes = max_header_bytes
        self._events_left = 0
        self._is_own_turn = False

    def begin_slice(self, *, is_own_turn: bool) -> None:
        """
        Allow some events.

        Parameters
        ----------
        is_own_turn : bool
            Whether this connection is the only one that is parsed in this turn
            of the event loop, so that a large head may be.

        """
        self.is_cut = False
        self._events_left = _SLICE_EVENTS
        self._is_own_turn = is_own_turn

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event; raise if a head is over the limit."""
        is_deferred = self.their_state is h11.IDLE and self._defers_head()
        if is_deferred or not self._events_left:
            self.is_cut = True
            return h11.NEED_DATA
        self._events_left -= 1
        try:
            event = super().next_event()
        except h11.RemoteProtocolError as error:
            self.error_status = error.error_status_hint
            raise
        if isinstance(event, h11.Request):
            self._check_fields(event)
        return event

    def _defers_head(self) -> bool:
        """Return whether a head waits for a turn; raise if it is too large."""
        max_bytes = 2 * self._max_header_bytes
        buffered = self.trailing_data[0]
        if len(buffered) > max_bytes:
            if _HEAD_END.search(buffered, 0, max_bytes) is None:
                self._reject()
        if self._is_own_turn or len(buffered) <= _MAX_PROMPT_HEAD_BYTES:
            return False
        return _HEAD_END.search(buffered, 0, _MAX_PROMPT_HEAD_BYTES) is None

    def _check_fields(self, request: h11.Request) -> None:
        size = sum(len(name) + len(text) + 4 for name, text in request.headers)
        if size > self._max_header_bytes:
            self._reject()

    def _reject(self) -> None:
        self.error_status = _HEADERS_TOO_LARGE_STATUS
        raise h11.RemoteProtocolError(
            f'the header fields are over {self._max_header_bytes} bytes',
            _HEADERS_TOO_LARGE_STATUS,
        )


class _BoundedFlow(FlowControl):
    """
    Flow control that reads no more than is parsed.

    Pipelined requests over a limit and bytes that wait for their slice are
    parsed before more are read.
    """

    def __init__(
        self, transport: asyncio.Transport, http: h11.Connection
    ) -> None:
        super().__init__(transport)
        self.is_parsing = False
        self._http = http

    def resume_reading(self) -> None:
        """Resume reading unless enough received bytes wait."""
        if self.is_parsing:
            return
        if self.read_paused and self._http.their_state is h11.DONE:
            if len(self._http.trailing_data[0]) > _MAX_PIPELINED_BYTES:
                return
        super().resume_reading()


class Holder(ABC):
    """Holds memory for a request."""

    @property
    @abstractmethod
    def held_bytes(self) -> int:
        """Bytes that are held."""

    @abstractmethod
    def release(self) -> None:
        """Release all that is held."""


class BoundedProtocol(H11Protocol, ClientConnection):
    """
    Connection of a client.

    Parameters
    ----------
    guard : ClientGuard
        Knows all connections, and closes those that make no progress.
    is_reserved : bool
        Whether the connection may use the reserve of the platform's addresses.
    config, server_state, app_state, _loop
        As uvicorn passes them.

    Attributes
    ----------
    holder : Holder or None
        Holds the memory of the request in progress.
    sent_bytes : int
        Bytes of bodies that were written so far.

    """

    def __init__(
        self,
        guard: ClientGuard,
        is_reserved: bool,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(
            config, server_state, {**app_state, CONNECTION_STATE: self}, _loop
        )
        # Malformed requests are counted, and logged once a period.
        self.logger = _logger
        self.holder: Holder | None = None
        self.sent_bytes = 0
        self._http = _BoundedHttp(guard.callers.max_header_bytes)
        self.conn = self._http
        self._guard = guard
        self._is_reserved = is_reserved
        self._received_bytes = 0
        self._requests = 0
        self._is_refused = False
        self._is_own_turn = False

    @property
    def address(self) -> str:
        """Address of the client, without its port."""
        return self.client[0] if self.client else ''

    @property
    def requests(self) -> int:
        """Number of requests that were answered."""
        return self._requests

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the request in progress."""
        return self.holder.held_bytes if self.holder else 0

    @property
    def phase(self) -> Phase:
        """What the connection waits for."""
        if self.transport.get_write_buffer_size():
            return Phase.writing
        if self._flow.is_parsing:
            return Phase.parsing
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            is_waiting = cycle.more_body and not self.flow.read_paused
            return Phase.body if is_waiting else Phase.running
        if self._is_refused or self.conn.their_state is h11.SEND_BODY:
            return Phase.discarding
        has_begun = (
            self.conn.their_state is h11.IDLE and (self.conn.trailing_data[0])
        )
        return Phase.head if has_begun else Phase.idle

    @property
    def progress(self) -> int:
        """Bytes that were received and that the client has taken so far."""
        waiting = self.transport.get_write_buffer_size()
        return self._received_bytes + self.sent_bytes - waiting

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Register the connection, or close it if there are too many."""
        super().connection_made(transport)
        self._flow = _BoundedFlow(transport, self.conn)
        self.flow = self._flow
        cast('Any', transport).max_size = _READ_BYTES
        self._guard.add(self, is_reserved=self._is_reserved)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._guard.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count received bytes, and pass them to the parser."""
        self._received_bytes += len(data)
        if not self._is_refused:
            super().data_received(data)

    def handle_events(self) -> None:
        """Handle a slice of what was received, unless it waits for its turn."""
        if self._flow.is_parsing:
            return
        self._http.begin_slice(is_own_turn=self._is_own_turn)
        super().handle_events()
        if self._http.is_cut:
            self.flow.pause_reading()
            self._flow.is_parsing = True
            self._guard.parse_queue.add(self._take_turn)
        elif self.flow.read_paused and self.conn.their_state is h11.IDLE:
            self.flow.resume_reading()

    def send_400_response(  # noqa: WPS114 overrides a method of uvicorn
        self, msg: str
    ) -> None:
        """
        Refuse a request that is malformed, or whose head is too large.

        What still arrives is discarded for a while: a connection that is
        closed with unread bytes is reset, which may destroy the response.
        """
        is_large = self._http.error_status == _HEADERS_TOO_LARGE_STATUS
        self._guard.rejections.add(
            Reason.head_size if is_large else Reason.malformed, self.address
        )
        self._is_refused = True
        if self.conn.our_state not in _ANSWERABLE_STATES:
            self.abort()
        elif is_large:
            self.transport.write(_HEADERS_TOO_LARGE_RESPONSE)
            self.loop.call_later(_DISCARD_SECONDS, self.transport.close)
        else:
            super().send_400_response(msg)

    def on_response_complete(self) -> None:
        """Count the request, and release a body that was not read."""
        self._requests += 1
        self.cycle.body = bytearray()
        super().on_response_complete()

    def abort(self) -> None:
        """Close the connection at once; unsent and unread bytes are lost."""
        if self.holder is not None:
            self.holder.release()
        self.transport.abort()

    def _take_turn(self) -> None:
        """Handle the next slice, and read on if nothing is left."""
        self._flow.is_parsing = False
        if self.transport.is_closing():
            return
        self._is_own_turn = True
        try:
            self.handle_events()
        finally:
            self._is_own_turn = False
        body = self.cycle.body if self.cycle else b''
        has_room = len(body) <= HIGH_WATER_LIMIT
        if has_room and self.conn.their_state is not h11.DONE:
            self.flow.resume_reading()
