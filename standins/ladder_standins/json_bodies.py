"""JSON answers of the stand-ins."""

from typing import TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response

Message = TypeVar('Message')


def make_json_response(message: object, status: int = 200) -> Response:
    """Return a message as a JSON answer."""
    body = msgspec.json.encode(message)
    return Response(body, status, media_type='application/json')


async def read_json(request: Request, kind: type[Message]) -> Message:
    """Decode the body of a request."""
    return msgspec.json.decode(await request.body(), type=kind)
