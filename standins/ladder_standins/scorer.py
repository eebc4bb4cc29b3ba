"""Stand-in for a service that scores samples."""

import msgspec
import xxhash
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ladder_standins.json_bodies import make_json_response, read_json

_SCALE = 1000


class ScoreRequest(msgspec.Struct, frozen=True):
    """Prompt and text of a sample to score."""

    prompt: str
    text: str


class ScoreResponse(msgspec.Struct, frozen=True):
    """Score of a sample, from zero to below one."""

    score: float


async def _score(request: Request) -> Response:
    sample = await read_json(request, ScoreRequest)
    digest = xxhash.xxh64_intdigest(f'{sample.prompt}\n{sample.text}'.encode())
    response = make_json_response(ScoreResponse(digest % _SCALE / _SCALE))
    response.headers['x-request-id'] = request.headers.get('x-request-id', '')
    return response


def make_scorer() -> Starlette:
    """Return the HTTP application of the scoring service."""
    return Starlette(routes=[Route('/v1/score', _score, methods=['POST'])])
