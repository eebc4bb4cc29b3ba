"""Bodies of calls from other nodes."""

from starlette.requests import Request

MAX_BODY_BYTES = 100_000


async def read_body(request: Request, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the body; one that is too large is cut, so it is not decoded."""
    body = bytearray()
    async for chunk in request.stream():
        body.extend(chunk)
        if len(body) > max_bytes:
            break
    return bytes(body)
