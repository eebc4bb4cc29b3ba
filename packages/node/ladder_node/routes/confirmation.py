"""Confirmation of the cached configuration before a final decision."""

import asyncio

from ladder_core.errors import LadderError, StoreUnavailableError
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.routes.cache import RouteCache
from ladder_node.routes.source import RouteSource

# A confirmation of this age still counts. This bounds the reads of a node
# whose callers ask for many routes that do not exist.
_MAX_AGE_SECONDS = 0.2
# The caller should learn early enough that another node may know more.
_TIMEOUT_SECONDS = 0.6
_RETRY_AFTER_SECONDS = 0.5


class RouteConfirmation(Component):
    """
    Confirm that the cached configuration is the one in force.

    Explanation
    -----------
    The cached configuration may be older than the one in force, for example
    because the connection of its feed is silent. A decision that can't be
    revised, such as the response that a route does not exist, is therefore
    taken only after the configuration has been read again.

    Parameters
    ----------
    routes : RouteCache
        Receives the configuration that is read.
    source : RouteSource
        Reads the configuration in force.
    timers : TimerService
        Clock for the age of a confirmation and for the time limit.
    timeline : Timeline
        Records the confirmations that fail.

    """

    def __init__(
        self,
        routes: RouteCache,
        source: RouteSource,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._routes = routes
        self._source = source
        self._timers = timers
        self._timeline = timeline
        self._confirmed_at: float | None = None
        self._reading: asyncio.Task[bool] | None = None

    @property
    def routes(self) -> RouteCache:
        """The cache that receives the configuration."""
        return self._routes

    async def start(self) -> None:
        """Start; configurations are read only when they are needed."""

    async def close(self) -> None:
        """Cancel a read that is in progress."""
        if self._reading is not None:
            self._reading.cancel()
            await asyncio.wait((self._reading,))
            self._reading = None

    async def confirm(self) -> None:
        """
        Read the configuration in force into the cache.

        Concurrent calls share one read.

        Raises
        ------
        StoreUnavailableError
            The configuration could not be read within the time limit.

        """
        if self._is_recent():
            return
        reading = self.begin()
        limit = asyncio.create_task(self._timers.sleep(_TIMEOUT_SECONDS))
        try:
            await asyncio.wait(
                (reading, limit), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            limit.cancel()
        if not (reading.done() and reading.result()):
            raise StoreUnavailableError(
                'the configuration in force can not be read at present',
                remedy='ask another node, or this one a little later',
                retry_after=_RETRY_AFTER_SECONDS,
            )

    def begin(self) -> asyncio.Task[bool]:
        """Return the task of the read in progress; begin one if needed."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read())
        return self._reading

    def _is_recent(self) -> bool:
        if self._confirmed_at is None:
            return False
        return self._timers.now() - self._confirmed_at <= _MAX_AGE_SECONDS

    async def _read(self) -> bool:
        """Return whether the configuration in force was read."""
        begun_at = self._timers.now()
        try:
            table = await self._source.read()
        except (LadderError, ValueError) as error:
            self._timeline.record(
                'routes-not-confirmed', 'config', error=str(error)
            )
            return False
        if table is not None:
            self._routes.offer(table)
        self._routes.confirm(begun_at)
        self._confirmed_at = self._timers.now()
        return True
