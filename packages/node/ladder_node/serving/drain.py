"""Drain a node: no new callers, then nothing in progress."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from starlette.datastructures import MutableHeaders
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService
from ladder_node.serving.metrics import DRAINING, REQUESTS

# The other nodes hear within this time that this one leaves.
LEAVE_PROPAGATION_SECONDS = 2

Result = TypeVar('Result')


class Drain:
    """
    Count the requests in progress, and end them in order on request.

    Parameters
    ----------
    leave : callable
        Takes this node out of the address answers of all nodes.
    keep_seconds : float
        Seconds for which callers keep an address answer.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes the steps of the drain.
    spread_seconds : float, optional
        Time in which the other nodes hear that this one leaves.

    """

    def __init__(
        self,
        leave: Callable[[], None],
        address_ttl_seconds: float,
        timers: TimerService,
        timeline: TimeLine,
        leave_propagation_seconds: float = LEAVE_PROPAGATION_SECONDS,
    ) -> None:
        self._leave_propagation_seconds = leave_propagation_seconds
        self._leave = leave
        self._address_ttl_seconds = address_ttl_seconds
        self._timers = timers
        self._timeline = timeline
        self._requests = 0
        self._is_leaving = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._finishing = asyncio.Event()
        self._done = asyncio.Event()

    @property
    def requests(self) -> int:
        """Number of requests in progress."""
        return self._requests

    @property
    def is_leaving(self) -> bool:
        """Whether the drain has begun."""
        return self._is_leaving

    @property
    def is_done(self) -> bool:
        """Whether the drain has ended."""
        return self._done.is_set()

    async def run(self) -> None:
        """
        Drain the node.

        Explanation
        -----------
        The address answers stop to name this node first. It goes on to serve
        until the answers that callers keep have run out. Then it waits for
        what is in progress, however long that takes. A second call waits for
        the first.

        """
        if self._is_leaving:
            await self._done.wait()
            return
        self._is_leaving = True
        DRAINING.set(1)
        self._timeline.record('drain-begun', 'node', requests=self._requests)
        self._leave()
        await self._timers.sleep(
            self._leave_propagation_seconds + self._address_ttl_seconds,
        )
        self._finishing.set()
        self._timeline.record('drain-kept', 'node', requests=self._requests)
        await self._idle.wait()
        self._finish()

    async def run_within(self, seconds: float) -> None:
        """
        Drain the node, and end after a time whatever is in progress.

        Parameters
        ----------
        seconds : float
            Time until the process would be killed anyway.

        """
        draining = asyncio.ensure_future(self.run())
        limit = asyncio.ensure_future(self._timers.sleep(seconds))
        await asyncio.wait(
            (draining, limit),
            return_when=asyncio.FIRST_COMPLETED,
        )
        await _cancel(draining, limit)
        if not self.is_done:
            self._timeline.record(
                'drain-cut',
                'node',
                requests=self._requests,
                seconds=seconds,
            )

    async def run_long_poll(
        self,
        pull: Callable[[float], Coroutine[None, None, Result]],
        wait_seconds: float,
    ) -> Result:
        """
        Run a request that waits for news, and end the wait when draining.

        Parameters
        ----------
        pull : callable
            Takes the seconds to wait, and returns what is there.
        wait_seconds : float
            Seconds that the caller would wait.

        Returns
        -------
        Result
            What the pull returns.

        """
        waiting = asyncio.create_task(pull(wait_seconds))
        finishing = asyncio.create_task(self._finishing.wait())
        try:
            await asyncio.wait(
                (waiting, finishing),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if waiting.done():
                return waiting.result()
        finally:
            await _cancel(finishing, waiting)
        return await pull(0)

    def begin_request(self) -> None:
        """Count a request."""
        self._requests += 1
        REQUESTS.set(self._requests)
        self._idle.clear()

    def end_request(self) -> None:
        """Count a request no more."""
        self._requests -= 1
        REQUESTS.set(self._requests)
        if not self._requests:
            self._idle.set()

    def _finish(self) -> None:
        self._done.set()
        self._timeline.record('drain-done', 'node')


async def _cancel(*tasks: asyncio.Task[Any]) -> None:
    """Cancel tasks and wait for their ends."""
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


class EntryMiddleware:
    """
    Count requests, and have callers leave a node that drains.

    Parameters
    ----------
    app : ASGIApp
        The routes.
    drain : Drain
        Counts the requests.
    ensure_fresh : callable, optional
        Awaited before each request; returns late after a pause.

    """

    def __init__(
        self,
        app: ASGIApp,
        drain: Drain,
        ensure_fresh: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._app = app
        self._drain = drain
        self._ensure_fresh = ensure_fresh

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request."""
        self._drain.begin_request()
        try:
            if self._ensure_fresh is not None:
                await self._ensure_fresh()
            await self._app(scope, receive, self._mark_closing(send))
        finally:
            self._drain.end_request()

    def _mark_closing(self, send: Send) -> Send:
        """Send the callers of a draining node to other connections."""

        async def send_marked(message: Message) -> None:
            is_start = message['type'] == 'http.response.start'
            if is_start and self._drain.is_leaving:
                headers = MutableHeaders(scope=message)
                headers['connection'] = 'close'
            await send(message)

        return send_marked
