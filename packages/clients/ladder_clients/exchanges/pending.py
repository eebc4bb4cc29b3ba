"""Give up the exchanges that a service will not answer any more."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass

from ladder_clients.exchanges.errors import AbandonedError
from ladder_core.timers import TimerService

# An answer within this time shows that the service is not slow, and an
# exchange that has waited for longer than that was lost.
_QUICK_SECONDS = 0.5
# Time after a silence in which answers are taken for the service's return.
# Without one, an exchange that takes long may just be a slow one.
_RETURN_SECONDS = 3


@dataclass(slots=True, eq=False)
class _Exchange:
    """One exchange that goes on, and what ends it."""

    began: float
    wait_seconds: float
    scope: asyncio.Timeout


class PendingExchanges:
    """
    The exchanges with one service.

    Explanation
    -----------
    A service that falls silent leaves exchanges behind that wait for their
    whole time limit, also after it has returned. Once an exchange that began
    later is answered quickly, the older ones are given up.

    Parameters
    ----------
    timers : TimerService
        Source of time.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._exchanges: set[_Exchange] = set()
        self._silent_at: float | None = None

    def record_timeout(self) -> None:
        """Note an exchange that reached its time limit without an answer."""
        self._silent_at = self._timers.now()

    @contextlib.asynccontextmanager
    async def track(self, wait_seconds: float) -> AsyncIterator[None]:
        """
        Count what is done within as one exchange.

        Parameters
        ----------
        wait_seconds : float
            Time for which the service was asked to wait with its answer.

        Raises
        ------
        AbandonedError
            The service answers others, but not this exchange.

        """
        try:
            async with asyncio.timeout(None) as scope:
                exchange = _Exchange(self._timers.now(), wait_seconds, scope)
                with self._keep(exchange):
                    yield
                self._note_answer(exchange)
        except TimeoutError as error:
            raise AbandonedError(
                'later calls were answered, but not this one',
                remedy='read back whether it took effect',
            ) from error

    @contextlib.contextmanager
    def _keep(self, exchange: _Exchange) -> Iterator[None]:
        self._exchanges.add(exchange)
        try:
            yield
        finally:
            self._exchanges.discard(exchange)

    def _note_answer(self, answered: _Exchange) -> None:
        now = self._timers.now()
        is_slow = now - answered.began > _QUICK_SECONDS
        if is_slow or not self._was_silent(now):
            return
        for exchange in self._exchanges:
            age = now - exchange.began - exchange.wait_seconds
            if exchange.began < answered.began and age > _QUICK_SECONDS:
                exchange.scope.reschedule(asyncio.get_running_loop().time())

    def _was_silent(self, now: float) -> bool:
        if self._silent_at is None:
            return False
        return now - self._silent_at <= _RETURN_SECONDS
