"""Bodies of calls from other nodes."""

import io

from starlette.requests import Request

MAX_BODY_BYTES = 100_000


async def read_body(request: Request, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the body; one that is too large is cut, so it is not decoded."""
    # Unlike a bytearray, it is not copied as a whole at the end.
    body = io.BytesIO()
    async for chunk in request.stream():
        body.write(chunk)
        if body.tell() > max_bytes:
            break
    return body.getvalue()
