"""The HTTP server of a node."""

import asyncio
import contextlib
import math
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.h11_impl import H11Protocol

from ladder_core.supervision import Component

_START_POLL_INTERVAL_SECONDS = 0.02
_LISTEN_BACKLOG = 2048


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class EntryServer(Component):
    """
    Serve an HTTP application at an address.

    Parameters
    ----------
    app : ASGIApp
        Application that handles the requests.
    address : str
        ``ip:port`` to listen at.
    close_seconds : int or None, optional
        Time limit of a close, after which requests in progress are aborted.
        Without it, a close waits for them.

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
        """Start the server, and return when it accepts connections."""
        self._task = asyncio.create_task(self._server.serve())
        while not self._server.started:
            if self._task.done():
                await self._task
                raise RuntimeError('the entry server stopped during its start')
            await asyncio.sleep(_START_POLL_INTERVAL_SECONDS)

    def set_keep_alive(self, seconds: float) -> None:
        """
        Set how long idle connections are kept open.

        Parameters
        ----------
        seconds : float
            Idle time-out, rounded up to whole seconds. It applies to open
            connections, too.

        """
        keep_alive_seconds = math.ceil(seconds)
        self._config.timeout_keep_alive = keep_alive_seconds
        for connection in self._server.server_state.connections:
            if isinstance(connection, H11Protocol):
                connection.timeout_keep_alive = keep_alive_seconds

    async def close(self) -> None:
        """Accept no more connections, and finish the requests in progress."""
        if self._task is None:
            return
        self._server.should_exit = True
        await self._task
        self._task = None
