"""Detection of exchanges whose response was lost in an outage."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass

from ladder_clients.exchanges.errors import AbandonedError
from ladder_core.timers import TimerService

# A response within this time shows that the service is not slow; an older
# exchange that has waited for longer is then taken for lost.
_FAST_RESPONSE_SECONDS = 0.5
# Exchanges are given up only within this time after a time-out. Without a
# recent time-out, an exchange that takes long may only be slow.
_RECOVERY_SECONDS = 3


@dataclass(slots=True, eq=False)
class _Exchange:
    """One exchange in flight, and the time-out scope that ends it."""

    started_at: float
    wait_seconds: float
    scope: asyncio.Timeout


class PendingExchanges:
    """
    The exchanges in flight with one service.

    Explanation
    -----------
    Exchanges that were in flight when a service stopped responding would wait
    for their whole time-out, even after the service has recovered. Once an
    exchange that started later is answered quickly, the older ones are
    cancelled with an error, so that their callers can retry at once.

    Parameters
    ----------
    timers : TimerService
        Clock by which the age of exchanges is measured.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._exchanges: set[_Exchange] = set()
        self._timed_out_at: float | None = None

    def record_timeout(self) -> None:
        """Record that an exchange reached its time-out without a response."""
        self._timed_out_at = self._timers.now()

    @contextlib.asynccontextmanager
    async def track(
        self, wait_seconds: float, *, ends_outage: bool = False
    ) -> AsyncIterator[None]:
        """
        Track the body of the context as one exchange.

        Parameters
        ----------
        wait_seconds : float
            Time for which the service may hold back its response, as in a
            long poll; it is not counted as delay.
        ends_outage : bool, optional
            Whether a response shows that an outage is over, so that long polls
            that began before are given up as well.

        Raises
        ------
        AbandonedError
            A later exchange was answered first, after an outage.

        """
        try:
            async with asyncio.timeout(None) as scope:
                exchange = _Exchange(self._timers.now(), wait_seconds, scope)
                with self._hold(exchange):
                    yield
                self._record_response(exchange, ends_outage=ends_outage)
        except TimeoutError as error:
            raise AbandonedError(
                'later calls were answered, but not this one',
                remedy='read back whether it took effect',
            ) from error

    @contextlib.contextmanager
    def _hold(self, exchange: _Exchange) -> Iterator[None]:
        self._exchanges.add(exchange)
        try:
            yield
        finally:
            self._exchanges.discard(exchange)

    def _record_response(
        self, answered: _Exchange, *, ends_outage: bool
    ) -> None:
        now = self._timers.now()
        is_slow = now - answered.started_at > _FAST_RESPONSE_SECONDS
        if is_slow or not self._had_recent_timeout(now):
            return
        for exchange in self._exchanges:
            age = now - exchange.started_at
            if not ends_outage:
                age -= exchange.wait_seconds
            if (
                exchange.started_at < answered.started_at
                and age > _FAST_RESPONSE_SECONDS
                and not exchange.scope.expired()
            ):
                exchange.scope.reschedule(asyncio.get_running_loop().time())

    def _had_recent_timeout(self, now: float) -> bool:
        if self._timed_out_at is None:
            return False
        return now - self._timed_out_at <= _RECOVERY_SECONDS
