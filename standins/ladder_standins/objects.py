"""Stand-in for the object store."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

_NOT_FOUND_STATUS = 404
_NO_CONTENT_STATUS = 204


class ObjectStoreApp:
    """Serve objects in memory over HTTP."""

    def __init__(self) -> None:
        self._bodies: dict[str, bytes] = {}

    async def get(self, request: Request) -> Response:
        """Respond with the body of an object, or with status 404."""
        body = self._bodies.get(request.path_params['name'])
        if body is None:
            return Response(status_code=_NOT_FOUND_STATUS)
        return Response(body)

    async def put(self, request: Request) -> Response:
        """Store an object, or replace its body."""
        self._bodies[request.path_params['name']] = await request.body()
        return Response(status_code=_NO_CONTENT_STATUS)

    async def delete(self, request: Request) -> Response:
        """Remove an object if it exists."""
        self._bodies.pop(request.path_params['name'], None)
        return Response(status_code=_NO_CONTENT_STATUS)


def make_object_store() -> Starlette:
    """Return the HTTP application of the object store."""
    store = ObjectStoreApp()
    path = '/v1/objects/{name:path}'
    return Starlette(
        routes=[
            Route(path, store.get, methods=['GET']),
            Route(path, store.put, methods=['PUT']),
            Route(path, store.delete, methods=['DELETE']),
        ],
    )
