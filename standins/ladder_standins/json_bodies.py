"""JSON bodies of HTTP requests and responses of the stand-ins."""

from typing import TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response

Message = TypeVar('Message')


def make_json_response(message: object, status: int = 200) -> Response:
    """Return an HTTP response with a message as its JSON body."""
    body = msgspec.json.encode(message)
    return Response(body, status, media_type='application/json')


async def read_json(request: Request, kind: type[Message]) -> Message:
    """Decode and validate the JSON body of a request."""
    return msgspec.json.decode(await request.body(), type=kind)
