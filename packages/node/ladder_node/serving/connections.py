"""Detect callers that disconnect before their response."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from starlette.requests import Request
from starlette.responses import Response

_CLIENT_CLOSED_REQUEST_STATUS = 499
_DISCONNECT_MESSAGE_TYPE = 'http.disconnect'


async def run_while_connected(
    request: Request,
    work: Coroutine[None, None, Response],
) -> Response:
    """
    Run work that is only useful while its caller is connected.

    Parameters
    ----------
    request : Request
        Request whose body has been read completely.
    work : coroutine
        Produces the response; it is cancelled when the caller disconnects.

    Returns
    -------
    Response
        Response of the work, or status 499 after a disconnect.

    """
    work_task = asyncio.ensure_future(work)
    disconnect_task = asyncio.ensure_future(_wait_disconnect(request))
    try:
        await asyncio.wait(
            {work_task, disconnect_task},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if work_task.done():
            return work_task.result()
        return Response(status_code=_CLIENT_CLOSED_REQUEST_STATUS)
    finally:
        await _cancel_all(work_task, disconnect_task)


async def _cancel_all(*tasks: 'asyncio.Future[Any]') -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_disconnect(request: Request) -> None:
    while True:
        message = await request.receive()
        if message['type'] == _DISCONNECT_MESSAGE_TYPE:
            return
