"""Client of a table in the same process, for tests with a manual clock."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from ladder_clients.table import (
    Outcome,
    Row,
    StoreOutcomeUnknownError,
    TableClient,
    Transaction,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.timers import TimerService
from ladder_standins.rows import TableRows


class CallOutcome(StrEnum):
    """
    Outcome of one call.

    A refused call has no effect. After a lost response a transaction has taken
    effect, and after a late effect it does so later; in both cases its caller
    gets an error that leaves the outcome open. A read fails with any outcome
    but `answered`.
    """

    answered = 'answered'
    refused = 'refused'
    answer_lost = 'answer-lost'
    late_effect = 'late-effect'


@dataclass(frozen=True, slots=True)
class CallConditions:
    """
    Outcome and delays of one call.

    Attributes
    ----------
    outcome : CallOutcome
        Whether the call is answered or refused, or its caller gets an error
        although a transaction takes effect, at once or late.
    request_seconds, response_seconds : float
        Time until the call takes effect, and from there until its response.
    late_effect_seconds : float
        Time from the caller's error until a late effect, in seconds.

    """

    outcome: CallOutcome = CallOutcome.answered
    request_seconds: float = 0
    response_seconds: float = 0
    late_effect_seconds: float = 0


class TimedTable(TableClient):
    """
    Table client whose calls to rows in memory have given delays and outcomes.

    Parameters
    ----------
    rows : TableRows
        Rows of the table, shared by the clients of all nodes.
    timers : TimerService
        Timers that the delays of the calls are measured with.
    draw_conditions : callable
        Called once for each call; returns its conditions.

    """

    def __init__(
        self,
        rows: TableRows,
        timers: TimerService,
        draw_conditions: Callable[[], CallConditions] = CallConditions,
    ) -> None:
        self._rows = rows
        self._timers = timers
        self._draw_conditions = draw_conditions
        self._late_commits: set[asyncio.Task[None]] = set()

    async def read(self, table: str, key: str) -> Row | None:
        """Return one row, or None if it is absent."""
        conditions = await self._begin_read()
        row = self._rows.find(table, key)
        await self._timers.sleep(conditions.response_seconds)
        return row

    async def scan(self, table: str, prefix: str = '') -> list[Row]:
        """Return the rows whose keys start with a prefix."""
        conditions = await self._begin_read()
        rows = self._rows.scan(table, prefix)
        await self._timers.sleep(conditions.response_seconds)
        return rows

    async def commit(self, transaction: Transaction) -> Outcome:
        """Apply a transaction, once its request has arrived."""
        conditions = self._draw_conditions()
        await self._timers.sleep(conditions.request_seconds)
        if conditions.outcome is CallOutcome.refused:
            raise _make_unavailable()
        if conditions.outcome is CallOutcome.late_effect:
            self._schedule_commit(transaction, conditions.late_effect_seconds)
            raise _make_unknown(transaction)
        outcome = self._rows.commit(transaction)
        await self._timers.sleep(conditions.response_seconds)
        if conditions.outcome is CallOutcome.answer_lost:
            raise _make_unknown(transaction)
        return outcome

    async def read_outcome(self, token: str) -> Outcome | None:
        """Return the outcome of a transaction."""
        conditions = await self._begin_read()
        outcome = self._rows.find_outcome(token)
        await self._timers.sleep(conditions.response_seconds)
        return outcome

    async def close(self) -> None:
        """Cancel the late effects that have not happened yet."""
        for task in self._late_commits:
            task.cancel()
        await asyncio.gather(*self._late_commits, return_exceptions=True)

    async def _begin_read(self) -> CallConditions:
        conditions = self._draw_conditions()
        await self._timers.sleep(conditions.request_seconds)
        if conditions.outcome is not CallOutcome.answered:
            raise _make_unavailable()
        return conditions

    def _schedule_commit(
        self, transaction: Transaction, seconds: float
    ) -> None:
        task = asyncio.create_task(self._commit_late(transaction, seconds))
        self._late_commits.add(task)
        task.add_done_callback(self._late_commits.discard)

    async def _commit_late(
        self,
        transaction: Transaction,
        seconds: float,
    ) -> None:
        await self._timers.sleep(seconds)
        self._rows.commit(transaction)


def _make_unavailable() -> StoreUnavailableError:
    return StoreUnavailableError('the table is unavailable', remedy='wait')


def _make_unknown(transaction: Transaction) -> StoreOutcomeUnknownError:
    return StoreOutcomeUnknownError(
        f'the answer to transaction {transaction.token} was lost',
        remedy='read the outcome by its token',
    )
