"""A table client that bears a store that is down, slow or loses answers."""

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

_REPEATS = 2
_RETRY_SECONDS = 1

_call_histogram = Histogram(
    'ladder_table_call_seconds',
    'Duration of calls to the table service, failed ones included',
    ('kind',),
)


class ResilientTableClient(TableClient):
    """
    Calls of another client under limits.

    Parameters
    ----------
    inner : TableClient
        Makes the calls.
    admission : TableAdmission
        Limits and breaker, shared by all clients of a node.
    timers : TimerService
        Source of time.
    call_seconds : float
        Limit of one call; slower answers count as failures.
    is_urgent : bool, optional
        Whether calls pass the breaker and the full queue, leave the breaker
        as it is, and are not repeated: their caller is periodic.

    Notes
    -----
    A transaction whose answer was lost is repeated under its token, which
    decides it: it either returns the first outcome or takes effect now.

    """

    def __init__(
        self,
        inner: TableClient,
        admission: TableAdmission,
        timers: TimerService,
        call_seconds: float,
        is_urgent: bool = False,
    ) -> None:
        self._inner = inner
        self._admission = admission
        self._timers = timers
        self._call_seconds = call_seconds
        self._is_urgent = is_urgent

    async def read(self, table: str, key: str) -> Row | None:
        """Return one row, or None if it is absent."""
        return await self._read(self._inner.read(table, key))

    async def scan(self, table: str, prefix: str = '') -> list[Row]:
        """Return the rows whose keys start with a prefix."""
        return await self._read(self._inner.scan(table, prefix))

    async def read_outcome(self, token: str) -> Outcome | None:
        """Return the outcome of a transaction."""
        return await self._read(self._inner.read_outcome(token))

    async def commit(self, transaction: Transaction) -> Outcome:
        """Apply a transaction, repeated while its answer is lost."""
        try:
            return await self._commit_once(transaction)
        except StoreOutcomeUnknownError as error:
            lost = error
        for _ in range(0 if self._is_urgent else _REPEATS):
            try:
                return await self._commit_once(transaction)
            except StoreOutcomeUnknownError:
                continue
            except StoreUnavailableError as unavailable:
                # The first attempt may still have taken effect.
                raise lost from unavailable
        raise lost

    async def _read(self, call: Coroutine[Any, Any, Message]) -> Message:
        try:
            return await self._limit(CallKind.read, call)
        except TimeoutError as error:
            raise StoreUnavailableError(
                f'no answer of the table service in {self._call_seconds} s',
                remedy='wait until it has recovered',
                retry_after=_RETRY_SECONDS,
            ) from error

    async def _commit_once(self, transaction: Transaction) -> Outcome:
        call = self._inner.commit(transaction)
        try:
            return await self._limit(CallKind.write, call)
        except TimeoutError as error:
            raise StoreOutcomeUnknownError(
                f'no answer to transaction {transaction.token}'
                f' in {self._call_seconds} s',
                remedy='read its outcome back by its token',
                retry_after=_RETRY_SECONDS,
            ) from error

    async def _limit(
        self,
        kind: CallKind,
        call: Coroutine[Any, Any, Message],
    ) -> Message:
        try:
            with self._admission.admit(kind, self._is_urgent) as delay:
                if delay:
                    await self._timers.sleep(delay)
                return await self._watch(kind, call)
        finally:
            call.close()

    async def _watch(
        self,
        kind: CallKind,
        call: Coroutine[Any, Any, Message],
    ) -> Message:
        began = self._timers.now()
        try:
            answer = await self._run_limited(call)
        except (StoreUnavailableError, StoreOutcomeUnknownError, TimeoutError):
            self._note(is_answered=False)
            raise
        finally:
            _call_histogram.labels(kind).observe(self._timers.now() - began)
        self._note(is_answered=True)
        return answer

    async def _run_limited(
        self,
        call: Coroutine[Any, Any, Message],
    ) -> Message:
        """Run a call against a limit on the timer service's clock."""
        work = asyncio.ensure_future(call)
        limit = asyncio.ensure_future(self._timers.sleep(self._call_seconds))
        tasks = (work, limit)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                return work.result()
            raise TimeoutError
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _note(self, is_answered: bool) -> None:
        if self._is_urgent:
            return
        if is_answered:
            self._admission.breaker.record_success()
        else:
            self._admission.breaker.record_failure()
