"""The HTTP server of a node."""

import asyncio
import contextlib
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

from ladder_core.supervision import Service

_POLL_SECONDS = 0.02
_BACKLOG = 2048


class _Server(uvicorn.Server):
    """A server whose signals are handled by the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class EntryServer(Service):
    """
    Serve an application at an address.

    Parameters
    ----------
    app : ASGIApp
        The application.
    address : str
        ``ip:port`` to listen on.

    """

    def __init__(self, app: ASGIApp, address: str) -> None:
        host, _, port = address.rpartition(':')
        config = uvicorn.Config(
            app,
            host=host,
            port=int(port),
            backlog=_BACKLOG,
            log_config=None,
            access_log=False,
            lifespan='off',
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and return when the server accepts connections."""
        self._task = asyncio.create_task(self._server.serve())
        while not self._server.started:
            if self._task.done():
                await self._task
                raise RuntimeError('the entry server ended at its start')
            await asyncio.sleep(_POLL_SECONDS)

    async def close(self) -> None:
        """Accept no more and finish the requests in progress."""
        if self._task is None:
            return
        self._server.should_exit = True
        await self._task
        self._task = None
