"""Graceful drain of a node: no new callers, then no request in progress."""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from typing import Any, TypeVar

from starlette.datastructures import MutableHeaders
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from ladder_core.errors import NodeLeavingError
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.serving.metrics import DRAINING, REFUSED, REQUESTS

# Time within which the other nodes learn that this one is leaving.
LEAVE_PROPAGATION_SECONDS = 2

Result = TypeVar('Result')


class Drain:
    """
    Count the requests in progress, and drain the node when asked to.

    Parameters
    ----------
    leave : callable
        Removes this node from the addresses that nodes give to callers.
    address_ttl_seconds : float
        Seconds for which callers cache the addresses of nodes.
    timers : TimerService
        Sleep for the phases of the drain.
    timeline : Timeline
        Records the phases of the drain.
    leave_propagation_seconds : float, optional
        Time within which the other nodes learn that this one is leaving.

    """

    def __init__(
        self,
        leave: Callable[[], None],
        address_ttl_seconds: float,
        timers: TimerService,
        timeline: Timeline,
        leave_propagation_seconds: float = LEAVE_PROPAGATION_SECONDS,
    ) -> None:
        self._leave_propagation_seconds = leave_propagation_seconds
        self._leave = leave
        self._address_ttl_seconds = address_ttl_seconds
        self._timers = timers
        self._timeline = timeline
        self._requests = 0
        self._is_leaving = False
        self._ends_at = math.inf
        self._readers: set[asyncio.Task[Any]] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._caches_expired = asyncio.Event()
        self._done = asyncio.Event()

    @property
    def requests(self) -> int:
        """Number of requests in progress."""
        return self._requests

    @property
    def is_leaving(self) -> bool:
        """Whether the drain has started."""
        return self._is_leaving

    @property
    def seconds_left(self) -> float:
        """Seconds until the drain ends; infinite without a time limit."""
        return self._ends_at - self._timers.now()

    @property
    def is_done(self) -> bool:
        """Whether the drain has ended."""
        return self._done.is_set()

    async def run(self) -> None:
        """
        Drain the node.

        Explanation
        -----------
        First the node is removed from the addresses that callers get. It
        continues to serve until the addresses that callers have cached have
        expired. Then it waits for the requests in progress, without a time
        limit. A second call waits for the first.

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
        self._caches_expired.set()
        self._timeline.record('drain-kept', 'node', requests=self._requests)
        await self._idle.wait()
        self._finish()

    async def run_within(self, seconds: float) -> None:
        """
        Drain the node, and return at a time limit in any case.

        Parameters
        ----------
        seconds : float
            Time limit in seconds, after which the process may be killed.

        """
        self._ends_at = self._timers.now() + seconds
        draining = asyncio.ensure_future(self.run())
        limit = asyncio.ensure_future(self._timers.sleep(seconds))
        await asyncio.wait(
            (draining, limit),
            return_when=asyncio.FIRST_COMPLETED,
        )
        await _cancel(draining, limit)
        for reader in tuple(self._readers):
            reader.cancel()
        if not self.is_done:
            self._timeline.record(
                'drain-cut',
                'node',
                requests=self._requests,
                seconds=seconds,
            )

    def require_time(self, seconds: float) -> None:
        """
        Require that a request can end before the drain does.

        Parameters
        ----------
        seconds : float
            Longest time in seconds that the request may take.

        Raises
        ------
        NodeLeavingError
            The request might be cut, so it has to be refused.

        """
        if seconds > self.seconds_left:
            raise self._make_error(f'a request may take {seconds:.1f} s')

    @contextlib.contextmanager
    def reading(self) -> Iterator[None]:
        """
        Read a request, at the longest until the drain ends.

        Raises
        ------
        NodeLeavingError
            The drain ended before the request was read.

        """
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('requests are read in tasks')
        self._readers.add(task)
        try:
            yield
        except asyncio.CancelledError:
            if self.seconds_left > 0:
                raise
            task.uncancel()
            raise self._make_error('the request is still arriving') from None
        finally:
            self._readers.discard(task)

    async def run_long_poll(
        self,
        pull: Callable[[float], Coroutine[None, None, Result]],
        wait_seconds: float,
    ) -> Result:
        """
        Run a long poll, and end its wait early when the node drains.

        Parameters
        ----------
        pull : callable
            Called with the seconds to wait; returns the results so far.
        wait_seconds : float
            Seconds that the caller is ready to wait.

        Returns
        -------
        Result
            Return value of the pull.

        """
        waiting = asyncio.create_task(pull(wait_seconds))
        expiry = asyncio.create_task(self._caches_expired.wait())
        try:
            await asyncio.wait(
                (waiting, expiry),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if waiting.done():
                return waiting.result()
        finally:
            await _cancel(expiry, waiting)
        return await pull(0)

    def begin_request(self) -> None:
        """Count a request as in progress."""
        self._requests += 1
        REQUESTS.set(self._requests)
        self._idle.clear()

    def end_request(self) -> None:
        """Count a request as ended."""
        self._requests -= 1
        REQUESTS.set(self._requests)
        if not self._requests:
            self._idle.set()

    def _make_error(self, reason: str) -> NodeLeavingError:
        REFUSED.inc()
        left_seconds = max(self.seconds_left, 0)
        self._timeline.record(
            'drain-refused', 'node', reason=reason, left=round(left_seconds, 3)
        )
        return NodeLeavingError(
            f'this node stops in {left_seconds:.1f} s, and {reason}',
            remedy='send the request to another node',
            retry_after=0,
        )

    def _finish(self) -> None:
        self._done.set()
        self._timeline.record('drain-done', 'node')


async def _cancel(*tasks: asyncio.Task[Any]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


class EntryMiddleware:
    """
    Count requests, and close connections of callers while draining.

    Parameters
    ----------
    app : ASGIApp
        Application that handles the requests.
    drain : Drain
        Drain that counts the requests.
    ensure_fresh : callable, optional
        Awaited before each request. After the process was paused, it returns
        only when the node's knowledge has been refreshed.

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
        """Add a header field that closes the connection while draining."""

        async def send_marked(message: Message) -> None:
            is_start = message['type'] == 'http.response.start'
            if is_start and self._drain.is_leaving:
                headers = MutableHeaders(scope=message)
                headers['connection'] = 'close'
            await send(message)

        return send_marked
