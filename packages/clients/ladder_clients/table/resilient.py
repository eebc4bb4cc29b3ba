"""Table client that tolerates outages, slow calls and lost responses."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from prometheus_client import Histogram

from ladder_clients.table.admission import CallKind, TableAdmission
from ladder_clients.table.base import TableClient
from ladder_clients.table.errors import StoreOutcomeUnknownError
from ladder_clients.table.wire import Outcome, Row, Transaction
from ladder_core.errors import StoreUnavailableError
from ladder_core.timers import TimerService

Message = TypeVar('Message')

_MAX_RETRIES = 2
_RETRY_AFTER_SECONDS = 1

_call_histogram = Histogram(
    'ladder_table_call_seconds',
    'Duration of calls to the table service, failed ones included',
    ('kind',),
)


class ResilientTableClient(TableClient):
    """
    Client that adds admission, a time-out and retries to another client.

    Parameters
    ----------
    inner : TableClient
        Client that makes the calls.
    admission : TableAdmission
        Rate limits, queue and circuit breaker, shared by all clients of a
        node.
    timers : TimerService
        Clock of the time-outs and of the waits for the rate limit.
    call_timeout_seconds : float
        Time-out of one call, in seconds; an expired one counts as a failure.
    is_urgent : bool, optional
        Whether calls bypass the breaker and the limits on the queue. Their
        results do not change the state of the breaker, and they are not
        retried, because their caller repeats them periodically.

    Notes
    -----
    A transaction whose response was lost is retried with its token, which makes
    the retry idempotent: it returns the first outcome, or takes effect if the
    first attempt had none.

    """

    def __init__(
        self,
        inner: TableClient,
        admission: TableAdmission,
        timers: TimerService,
        call_timeout_seconds: float,
        is_urgent: bool = False,
    ) -> None:
        self._inner = inner
        self._admission = admission
        self._timers = timers
        self._call_timeout_seconds = call_timeout_seconds
        self._is_urgent = is_urgent

    async def read(self, table: str, key: str) -> Row | None:
        """Return one row, or None if it is absent."""
        return await self._read(self._inner.read(table, key))

    async def scan(self, table: str, prefix: str = '') -> list[Row]:
        """Return the rows whose keys start with a prefix, sorted by key."""
        return await self._read(self._inner.scan(table, prefix))

    async def read_outcome(self, token: str) -> Outcome | None:
        """Return the outcome of a transaction, or None if it is unknown."""
        return await self._read(self._inner.read_outcome(token))

    async def commit(self, transaction: Transaction) -> Outcome:
        """Apply a transaction; retry it while its response is lost."""
        try:
            return await self._commit_once(transaction)
        except StoreOutcomeUnknownError as error:
            lost = error
        for _ in range(0 if self._is_urgent else _MAX_RETRIES):
            try:
                return await self._commit_once(transaction)
            except StoreOutcomeUnknownError:
                continue
            except StoreUnavailableError as unavailable:
                # Report an unknown outcome: the first attempt may have taken
                # effect, although this one was refused.
                raise lost from unavailable
        raise lost

    async def _read(self, call: Coroutine[Any, Any, Message]) -> Message:
        try:
            return await self._run_admitted(CallKind.read, call)
        except TimeoutError as error:
            raise StoreUnavailableError(
                'no answer of the table service'
                f' in {self._call_timeout_seconds} s',
                remedy='wait until it has recovered',
                retry_after=_RETRY_AFTER_SECONDS,
            ) from error

    async def _commit_once(self, transaction: Transaction) -> Outcome:
        call = self._inner.commit(transaction)
        try:
            return await self._run_admitted(CallKind.write, call)
        except TimeoutError as error:
            raise StoreOutcomeUnknownError(
                f'no answer to transaction {transaction.token}'
                f' in {self._call_timeout_seconds} s',
                remedy='read its outcome back by its token',
                retry_after=_RETRY_AFTER_SECONDS,
            ) from error

    async def _run_admitted(
        self,
        kind: CallKind,
        call: Coroutine[Any, Any, Message],
    ) -> Message:
        try:
            with self._admission.admit(kind, self._is_urgent) as delay:
                if delay:
                    await self._timers.sleep(delay)
                return await self._measure(kind, call)
        finally:
            call.close()

    async def _measure(
        self,
        kind: CallKind,
        call: Coroutine[Any, Any, Message],
    ) -> Message:
        started_at = self._timers.now()
        try:
            message = await self._run_with_timeout(call)
        except (StoreUnavailableError, StoreOutcomeUnknownError, TimeoutError):
            self._update_breaker(is_answered=False)
            raise
        finally:
            _call_histogram.labels(kind).observe(
                self._timers.now() - started_at,
            )
        self._update_breaker(is_answered=True)
        return message

    async def _run_with_timeout(
        self,
        call: Coroutine[Any, Any, Message],
    ) -> Message:
        """Run a call with a time-out that is measured by the timer service."""
        call_task = asyncio.ensure_future(call)
        timeout_task = asyncio.ensure_future(
            self._timers.sleep(self._call_timeout_seconds),
        )
        tasks = (call_task, timeout_task)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if call_task.done():
                return call_task.result()
            raise TimeoutError
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _update_breaker(self, is_answered: bool) -> None:
        if self._is_urgent:
            return
        if is_answered:
            self._admission.breaker.record_success()
        else:
            self._admission.breaker.record_failure()
