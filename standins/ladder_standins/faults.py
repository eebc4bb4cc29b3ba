"""Injection of faults into the HTTP interface of a stand-in."""

import asyncio
import os
from enum import StrEnum

import msgspec
from starlette.types import ASGIApp, Message, Receive, Scope, Send

_EXIT_CRASH = 70
_MILLISECONDS_PER_SECOND = 1000
_FAULT_PATH = '/faults'
_SILENCE_SECONDS = 3600
_NO_CONTENT_STATUS = 204
_UNAVAILABLE_STATUS = 503


class FaultKind(StrEnum):
    """
    Kinds of faults.

    A crash ends the process. A delayed request is executed after a pause. A
    request that is refused gets status 503 and is not executed; a silenced one
    is not executed and gets no response. A lost response is never sent, and a
    broken one ends without its body, both after the request was executed.
    `clear` ends all faults in force.
    """

    crash = 'crash'
    delay = 'delay'
    refuse = 'refuse'
    lose_answer = 'lose-answer'
    break_answer = 'break-answer'
    silence = 'silence'
    clear = 'clear'


class Fault(msgspec.Struct):
    """
    Fault that applies to the next requests.

    Attributes
    ----------
    kind : FaultKind
        What happens to the requests.
    count : int
        Number of requests that the fault still applies to; minus one for no
        limit.
    seconds : float
        Length of the delay, for `FaultKind.delay`.
    path : str
        Prefix of the paths that the fault applies to.

    """

    kind: FaultKind
    count: int = -1
    seconds: float = 0
    path: str = '/'


class Faults:
    """Faults in force at one stand-in, the oldest first."""

    def __init__(self) -> None:
        self._active: list[Fault] = []

    def add(self, fault: Fault) -> None:
        """Put a fault in force; `FaultKind.clear` ends all faults instead."""
        if fault.kind is FaultKind.clear:
            self._active.clear()
        else:
            self._active.append(fault)

    def take(self, path: str) -> Fault | None:
        """Return the fault for a request, if any, and count the request."""
        for fault in self._active:
            if fault.count and path.startswith(fault.path):
                fault.count -= 1
                return fault
        return None


class FaultMiddleware:
    """
    Apply faults and a network delay to the requests of an application.

    Parameters
    ----------
    app : ASGIApp
        Application of the stand-in.
    faults : Faults
        Faults to apply; ``POST /faults`` adds one.
    delay_ms : float
        One-way network delay, in milliseconds.

    """

    def __init__(self, app: ASGIApp, faults: Faults, delay_ms: float) -> None:
        self._app = app
        self._faults = faults
        self._delay_seconds = delay_ms / _MILLISECONDS_PER_SECOND

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Apply a fault to a request, or pass it on to the application."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
        elif scope['path'] == _FAULT_PATH:
            await self._add_fault(receive, send)
        else:
            await self._handle(scope, receive, send)

    async def _add_fault(self, receive: Receive, send: Send) -> None:
        body = b''
        has_more = True
        while has_more:
            message = await receive()
            body += message.get('body', b'')
            has_more = message.get('more_body', False)
        fault = msgspec.json.decode(body, type=Fault)
        await _send_empty(send, _NO_CONTENT_STATUS)
        self._faults.add(fault)

    async def _handle(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        await asyncio.sleep(self._delay_seconds)
        fault = self._faults.take(scope['path'])
        if fault is None:
            await self._app(scope, receive, self._delay_send(send))
            return
        await self._apply(fault, scope, receive, send)

    async def _apply(
        self,
        fault: Fault,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        match fault.kind:
            case FaultKind.crash:
                os._exit(_EXIT_CRASH)
            case FaultKind.refuse:
                await _send_empty(send, _UNAVAILABLE_STATUS)
            case FaultKind.silence:
                await asyncio.sleep(_SILENCE_SECONDS)
            case FaultKind.delay:
                await asyncio.sleep(fault.seconds)
                await self._app(scope, receive, send)
            case FaultKind.lose_answer:
                await self._app(scope, receive, _discard)
                await asyncio.sleep(_SILENCE_SECONDS)
            case FaultKind.break_answer:
                await self._app(scope, receive, _discard)
                await _send_truncated(send)

    def _delay_send(self, send: Send) -> Send:
        if not self._delay_seconds:
            return send

        async def send_delayed(message: Message) -> None:
            if message['type'] == 'http.response.start':
                await asyncio.sleep(self._delay_seconds)
            await send(message)

        return send_delayed


async def _discard(message: Message) -> None:
    """Discard a part of a response."""


async def _send_empty(send: Send, status: int) -> None:
    head = {'type': 'http.response.start', 'status': status, 'headers': []}
    await send(head)
    await send({'type': 'http.response.body', 'body': b''})


async def _send_truncated(send: Send) -> None:
    """Announce a body and send none, so that the server cuts the connection."""
    headers = [(b'content-length', b'1')]
    head = {'type': 'http.response.start', 'status': 200, 'headers': headers}
    await send(head)
    await send({'type': 'http.response.body', 'body': b''})
