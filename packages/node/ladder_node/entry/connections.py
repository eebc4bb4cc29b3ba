"""Notice callers who leave before their answer."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from starlette.requests import Request
from starlette.responses import Response

_CLIENT_CLOSED_REQUEST = 499
_DISCONNECT = 'http.disconnect'


async def run_while_connected(
    request: Request,
    work: Coroutine[None, None, Response],
) -> Response:
    """
    Run work whose result is worth nothing without its caller.

    Parameters
    ----------
    request : Request
        The request, its body read.
    work : coroutine
        Makes the answer; it is cancelled when the caller has left.

    Returns
    -------
    Response
        The answer, or one that nobody gets.

    """
    answering = asyncio.ensure_future(work)
    leaving = asyncio.ensure_future(_wait_disconnect(request))
    try:
        await asyncio.wait(
            {answering, leaving},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if answering.done():
            return answering.result()
        return Response(status_code=_CLIENT_CLOSED_REQUEST)
    finally:
        await _end(answering, leaving)


async def _end(*tasks: 'asyncio.Future[Any]') -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_disconnect(request: Request) -> None:
    while True:
        message = await request.receive()
        if message['type'] == _DISCONNECT:
            return
