"""The HTTP server of a node."""

import asyncio
import contextlib
import math
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.h11_impl import H11Protocol

from ladder_core.supervision import Service

_START_POLL_SECONDS = 0.02
_LISTEN_BACKLOG = 2048


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
    close_seconds : int or None, optional
        Time at the close after which requests in progress are cut off; by
        default they are waited for.

    """

    def __init__(
        self,
        app: ASGIApp,
        address: str,
        close_seconds: int | None = None,
    ) -> None:
        host, _, port = address.rpartition(':')
        config = uvicorn.Config(
            app,
            host=host,
            port=int(port),
            backlog=_LISTEN_BACKLOG,
            log_config=None,
            access_log=False,
            lifespan='off',
            loop='asyncio',
            http='h11',
            timeout_graceful_shutdown=close_seconds,
            server_header=False,
            date_header=False,
        )
        self._config = config
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and return when the server accepts connections."""
        self._task = asyncio.create_task(self._server.serve())
        while not self._server.started:
            if self._task.done():
                await self._task
                raise RuntimeError('the entry server ended at its start')
            await asyncio.sleep(_START_POLL_SECONDS)

    def set_keep_alive(self, seconds: float) -> None:
        """
        Keep connections open between requests for a time.

        Parameters
        ----------
        seconds : float
            For connections that are open already, too.

        """
        wanted = math.ceil(seconds)
        self._config.timeout_keep_alive = wanted
        for connection in self._server.server_state.connections:
            if isinstance(connection, H11Protocol):
                connection.timeout_keep_alive = wanted

    async def close(self) -> None:
        """Accept no more and finish the requests in progress."""
        if self._task is None:
            return
        self._server.should_exit = True
        await self._task
        self._task = None
