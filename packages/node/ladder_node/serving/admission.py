"""Admission of requests by the bytes that they make the process hold."""

from collections.abc import Callable
from typing import Any

from starlette.types import ASGIApp, Message, Receive, Scope, Send

from ladder_core.errors import LadderError, OverloadedError, TooLargeError
from ladder_node.serving.budget import HeldKind
from ladder_node.serving.guard import ClientGuard
from ladder_node.serving.protocol import (
    CONNECTION_STATE,
    BoundedProtocol,
    Holder,
)
from ladder_node.serving.rejections import Reason

# Name under which the ASGI scope's state holds what a request holds.
HOLDINGS_STATE = 'holdings'
# Bodies up to this size are small, and so are responses.
_SMALL_BYTES = 65_536
# Requests with fewer header fields than this are not counted.
_FEW_FIELDS = 64
# Memory of one header field: its name, its value and the tuples they are in.
_FIELD_BYTES = 320
_RETRY_AFTER_SECONDS = 1
_WAIT_SECONDS = 0.05


class Holdings(Holder):
    """
    What the process holds for one request.

    Parameters
    ----------
    guard : ClientGuard
        Counts what is held.
    address : str
        Address of the client.

    """

    def __init__(self, guard: ClientGuard, address: str) -> None:
        self._guard = guard
        self._budget = guard.budget
        self._address = address
        self._fields = 0
        self._small = 0
        self._large = 0
        self._response = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are held."""
        return self._fields + self._small + self._large + self._response

    def hold_fields(self, count: int) -> None:
        """
        Hold the memory of many header fields.

        Raises
        ------
        OverloadedError
            They do not fit; the request has not run.

        """
        size = count * _FIELD_BYTES
        self._require(lambda: self._budget.admits(size))
        self._fields = size
        self._budget.hold(HeldKind.head, size)

    def hold_decoded(self, size: int) -> None:
        """
        Hold the memory that a body takes once it is decoded.

        Raises
        ------
        OverloadedError
            It does not fit; the request has not run.

        """
        if size <= _SMALL_BYTES:
            return
        self._require(lambda: self._budget.admits(size))
        self._fields += size
        self._budget.hold(HeldKind.head, size)

    def hold_body(self, size: int) -> None:
        """
        Hold a body of some size altogether.

        Raises
        ------
        OverloadedError
            The body does not fit; the request has not run.

        """
        missing = size - self._small - self._large
        if size <= _SMALL_BYTES:
            self._require(lambda: self._budget.admits(missing))
            self._small += missing
            self._budget.hold(HeldKind.body, missing)
            return
        self._require(
            lambda: self._budget.admits_large(
                self._address, missing, self._large
            )
        )
        self._large += missing
        self._budget.hold_large(self._address, missing)

    async def hold_response(self, size: int) -> None:
        """Hold a response of some size altogether; wait until it fits."""
        missing = size - self._response
        if size <= _SMALL_BYTES or missing <= 0:
            return
        while not self._budget.admits(missing):
            if self._budget.held_bytes <= self.held_bytes:
                # Nothing else is held, so that a wait would not end.
                break
            if not self._guard.relieve():
                await self._guard.sleep(_WAIT_SECONDS)
        self.count_response(size)

    def count_response(self, size: int) -> None:
        """Hold a response that is in memory already."""
        missing = size - self._response
        if missing > 0:
            self._response += missing
            self._budget.hold(HeldKind.response, missing)

    def release(self) -> None:
        """Release all that is held for the request."""
        self._budget.hold(HeldKind.head, -self._fields)
        self._budget.hold(HeldKind.response, -self._response)
        self._budget.hold(HeldKind.body, -self._small)
        if self._large:
            self._budget.hold_large(self._address, -self._large)
        self._fields = 0
        self._response = 0
        self._small = 0
        self._large = 0

    def _require(self, admits: Callable[[], bool]) -> None:
        """Close stalled connections until something fits, or raise."""
        while not admits():
            if not self._guard.relieve():
                self._guard.rejections.add(Reason.memory, self._address)
                raise OverloadedError(
                    'this node holds as much for its callers as it can',
                    remedy='send the request again later',
                    retry_after=_RETRY_AFTER_SECONDS,
                )


class Admission:
    """
    Admit requests as far as the process has room for them.

    Explanation
    -----------
    A body is admitted when the application begins to read it: by its declared
    length, or chunk by chunk without one. Until then the application has done
    nothing, so a refusal is sent with the guarantee that the request has not
    run.

    Parameters
    ----------
    app : ASGIApp
        Application that handles the requests.
    guard : ClientGuard
        Counts what is held.
    max_body_bytes : int, optional
        Largest declared body; the limit of the configuration if absent.

    """

    def __init__(
        self,
        app: ASGIApp,
        guard: ClientGuard,
        max_body_bytes: int | None = None,
    ) -> None:
        self._app = app
        self._guard = guard
        self._max_body_bytes = max_body_bytes

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request."""
        connection: BoundedProtocol = scope['state'][CONNECTION_STATE]
        holdings = Holdings(self._guard, connection.address)
        connection.holder = holdings
        scope['state'][HOLDINGS_STATE] = holdings
        limit = self._max_body_bytes or self._guard.callers.max_body_bytes
        body = _AdmittedBody(scope, receive, holdings, limit)
        response = _BoundedResponse(send, holdings, connection)
        try:
            if len(scope['headers']) > _FEW_FIELDS:
                holdings.hold_fields(len(scope['headers']))
            await self._app(scope, body.receive, response.send)
        except (OverloadedError, TooLargeError) as error:
            if response.has_begun:
                raise
            await response.refuse(error)
        finally:
            holdings.release()
            if connection.holder is holdings:
                connection.holder = None


class _AdmittedBody:
    """Body of a request that is admitted as it is read."""

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        holdings: Holdings,
        max_bytes: int,
    ) -> None:
        self._headers = scope['headers']
        self._receive = receive
        self._holdings = holdings
        self._max_bytes = max_bytes
        self._received = 0
        self._is_admitted = False
        self._is_over = False

    async def receive(self) -> Message:
        """Return the next part of the body."""
        if self._is_over:
            return await self._receive()
        if not self._is_admitted:
            self._is_admitted = True
            self._admit_declared()
        message = await self._receive()
        self._count(message)
        return message

    def _admit_declared(self) -> None:
        size = _find_length(self._headers)
        if size > self._max_bytes:
            self._is_over = True
            raise TooLargeError(
                f'the body is over {self._max_bytes} bytes',
                remedy='send a smaller body',
            )
        if size:
            self._hold(size)
            self._received = -size

    def _count(self, message: Message) -> None:
        self._is_over = not message.get('more_body', False)
        part = message.get('body', b'')
        if not part:
            return
        self._received += len(part)
        if self._received > 0 and not self._is_over:
            self._hold(self._received)

    def _hold(self, size: int) -> None:
        try:
            self._holdings.hold_body(size)
        except OverloadedError:
            # What still arrives is discarded.
            self._is_over = True
            raise


class _BoundedResponse:
    """Response that is written in parts, as fast as the client reads it."""

    def __init__(
        self, send: Send, holdings: Holdings, connection: BoundedProtocol
    ) -> None:
        self.has_begun = False
        self._send = send
        self._holdings = holdings
        self._connection = connection

    async def send(self, message: Message) -> None:
        """Send a message; a large body is sent in parts."""
        self.has_begun = True
        body = message.get('body', b'')
        if len(body) <= _SMALL_BYTES:
            self._connection.sent_bytes += len(body)
            await self._send(message)
            return
        self._holdings.count_response(len(body))
        for start in range(0, len(body), _SMALL_BYTES):
            part = body[start : start + _SMALL_BYTES]
            self._connection.sent_bytes += len(part)
            await self._send({**message, 'body': part, 'more_body': True})
        if not message.get('more_body', False):
            await self._send({**message, 'body': b''})

    async def refuse(self, error: LadderError) -> None:
        """Send the status of an error, and close the connection."""
        headers = [(b'content-length', b'0'), (b'connection', b'close')]
        if error.retry_after is not None:
            headers.append((b'retry-after', f'{error.retry_after:g}'.encode()))
        await self._send(
            {
                'type': 'http.response.start',
                'status': error.status,
                'headers': headers,
            }
        )
        await self._send({'type': 'http.response.body', 'body': b''})


def _find_length(headers: Any) -> int:
    """Return the declared length of a body; zero if there is none."""
    for name, text in headers:
        if name == b'content-length':
            return int(text)
    return 0
