"""Stand-in for the weight store, which limits the rate of transfers."""

import asyncio
import time

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ladder_clients.platform import Weights
from ladder_standins.json_bodies import make_json_response, read_json
from ladder_standins.network import TRANSFER_HEADER

_NOT_FOUND_STATUS = 404


class PublishedVersion(msgspec.Struct, frozen=True):
    """Version of a model that is completely published."""

    version: int


class WeightStoreApp:
    """
    Serve the weight versions of models over HTTP, at a limited rate.

    Parameters
    ----------
    size_bytes : int
        Size of each version, in bytes.
    bytes_per_second : float
        Rate limit over all readers together.

    """

    def __init__(self, size_bytes: int, bytes_per_second: float) -> None:
        self._size_bytes = size_bytes
        self._bytes_per_second = bytes_per_second
        self._versions: dict[str, int] = {}
        self._free_at: float = 0

    async def read(self, request: Request) -> Response:
        """Respond with the newest version of a model, or with status 404."""
        model = request.path_params['model']
        version = self._versions.get(model)
        if version is None:
            return Response(status_code=_NOT_FOUND_STATUS)
        return make_json_response(
            Weights(model, version, self._size_bytes, self._bytes_per_second)
        )

    async def publish(self, request: Request) -> Response:
        """Publish a version; one older than the newest changes nothing."""
        model = request.path_params['model']
        published = await read_json(request, PublishedVersion)
        newest = max(self._versions.get(model, 0), published.version)
        self._versions[model] = newest
        return make_json_response(PublishedVersion(newest))

    async def fetch(self, request: Request) -> Response:
        """
        Respond after the time that the transfer of a version takes.

        The body is short; a header has the size of the transfer it represents.
        """
        model = request.path_params['model']
        version = int(request.path_params['version'])
        if version > self._versions.get(model, 0):
            return Response(status_code=_NOT_FOUND_STATUS)
        now = time.monotonic()
        self._free_at = (
            max(self._free_at, now) + self._size_bytes / self._bytes_per_second
        )
        await asyncio.sleep(self._free_at - now)
        response = make_json_response(PublishedVersion(version))
        response.headers[TRANSFER_HEADER] = str(self._size_bytes)
        return response


def make_weight_store(size_bytes: int, bytes_per_second: float) -> Starlette:
    """Return the HTTP application of the weight store."""
    store = WeightStoreApp(size_bytes, bytes_per_second)
    path = '/v1/models/{model}'
    return Starlette(
        routes=[
            Route(path, store.read, methods=['GET']),
            Route(path, store.publish, methods=['POST']),
            Route('/v1/models/{model}/{version}', store.fetch),
        ],
    )
