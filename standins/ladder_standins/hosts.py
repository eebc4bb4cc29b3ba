"""Stand-in for the host list, whose readers see it with a lag."""

import time

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ladder_core.values import HostEntry
from ladder_standins.json_bodies import make_json_response, read_json

_NO_CONTENT_STATUS = 204


class HostListApp:
    """
    Serve host entries over HTTP; readers see an older state of the list.

    Parameters
    ----------
    lag_seconds : float
        Time until readers see a change, in seconds.

    """

    def __init__(self, lag_seconds: float) -> None:
        self._lag_seconds = lag_seconds
        self._entries: dict[str, HostEntry] = {}
        self._history: list[tuple[float, tuple[HostEntry, ...]]] = []

    async def read(self, request: Request) -> Response:
        """Respond with the list as it was before the lag."""
        visible_until = time.monotonic() - self._lag_seconds
        shown: tuple[HostEntry, ...] = ()
        for saved_at, entries in self._history:
            if saved_at <= visible_until:
                shown = entries
        return make_json_response(shown)

    async def put(self, request: Request) -> Response:
        """Add or replace an entry."""
        entry = await read_json(request, HostEntry)
        self._entries[entry.name] = entry
        return self._save_snapshot()

    async def delete(self, request: Request) -> Response:
        """Remove an entry."""
        self._entries.pop(request.path_params['name'], None)
        return self._save_snapshot()

    def _save_snapshot(self) -> Response:
        entries = tuple(self._entries.values())
        self._history.append((time.monotonic(), entries))
        return Response(status_code=_NO_CONTENT_STATUS)


def make_host_list(lag_seconds: float) -> Starlette:
    """Return the HTTP application of the host list."""
    hosts = HostListApp(lag_seconds)
    return Starlette(
        routes=[
            Route('/v1/hosts', hosts.read, methods=['GET']),
            Route('/v1/hosts', hosts.put, methods=['PUT']),
            Route('/v1/hosts/{name}', hosts.delete, methods=['DELETE']),
        ],
    )
