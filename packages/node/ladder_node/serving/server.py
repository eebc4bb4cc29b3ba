"""The HTTP server of a node."""

import asyncio
import contextlib
import math
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from typing import cast

import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.h11_impl import H11Protocol

from ladder_core.supervision import Component
from ladder_node.serving.admission import Admission
from ladder_node.serving.guard import ClientGuard
from ladder_node.serving.protocol import BoundedProtocol

_START_POLL_INTERVAL_SECONDS = 0.02
_LISTEN_BACKLOG = 2048
# Connections that asyncio accepts in one turn of the event loop, before any of
# them is counted. It accepts the whole backlog otherwise, which may be more
# than the descriptors of the host.
_ACCEPTED_AT_ONCE = 4


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


@dataclass(frozen=True, slots=True)
class ClientBounds:
    """
    Bounds on what a server holds for its clients.

    Attributes
    ----------
    guard : ClientGuard
        Counts what all servers of the process hold.
    is_reserved : bool
        Whether the server may use the reserve of connections that is kept for
        the platform.
    max_body_bytes : int or None
        Largest body that a client may declare; the limit of the configuration
        if None.

    """

    guard: ClientGuard
    is_reserved: bool = False
    max_body_bytes: int | None = None

    def wrap(self, app: ASGIApp) -> ASGIApp:
        """Return an application that admits the requests to another."""
        return Admission(app, self.guard, self.max_body_bytes)

    def make_protocol_type(self) -> type[asyncio.Protocol]:
        """Return what makes the protocols of new connections."""
        make = partial(BoundedProtocol, self.guard, self.is_reserved)
        return cast('type[asyncio.Protocol]', make)


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
    bounds : ClientBounds, optional
        Bounds what the process holds for clients; without them nothing does.

    """

    def __init__(
        self,
        app: ASGIApp,
        address: str,
        close_seconds: int | None = None,
        bounds: ClientBounds | None = None,
    ) -> None:
        host, _, port = address.rpartition(':')
        config = uvicorn.Config(
            bounds.wrap(app) if bounds else app,
            host=host,
            port=int(port),
            backlog=_ACCEPTED_AT_ONCE if bounds else _LISTEN_BACKLOG,
            log_config=None,
            access_log=False,
            lifespan='off',
            loop='asyncio',
            http=bounds.make_protocol_type() if bounds else 'h11',
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
        self._extend_backlog()

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

    def _extend_backlog(self) -> None:
        """Let the kernel queue more connections than are accepted at once."""
        for server in self._server.servers:
            for listening in server.sockets:
                with socket.fromfd(
                    listening.fileno(), listening.family, listening.type
                ) as duplicate:
                    duplicate.listen(_LISTEN_BACKLOG)
