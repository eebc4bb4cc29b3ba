"""A table service in the test's own process, with its faults."""

from enum import StrEnum

from ladder_clients.table import (
    Condition,
    Outcome,
    Row,
    TableClient,
    Transaction,
    Write,
)
from ladder_clients.table.errors import StoreOutcomeUnknownError
from ladder_core.errors import StoreUnavailableError

_REMEDY = 'wait until it has recovered'


class TableFault(StrEnum):
    """What befalls one call."""

    none = 'none'
    down = 'down'
    lost_answer = 'lost-answer'
    lost_request = 'lost-request'
    late_request = 'late-request'


class MemoryTable(TableClient):
    """
    Rows in memory; the next calls meet the faults of a list, in order.

    Attributes
    ----------
    faults : list of TableFault
        Faults of the next calls; a call beyond the list meets `default`.
    default : TableFault
        Fault of all further calls.
    late : list of Transaction
        Transactions that were held up; a test applies them later.

    """

    def __init__(self) -> None:
        self.faults: list[TableFault] = []
        self.default = TableFault.none
        self.late: list[Transaction] = []
        self._rows: dict[tuple[str, str], Row] = {}
        self._revisions: dict[tuple[str, str], int] = {}
        self._outcomes: dict[str, Outcome] = {}

    async def read(self, table: str, key: str) -> Row | None:
        """Return one row."""
        self._meet_fault()
        return self._rows.get((table, key))

    async def scan(self, table: str, prefix: str = '') -> list[Row]:
        """Return rows by prefix."""
        self._meet_fault()
        return [
            row
            for position, row in sorted(self._rows.items())
            if position[0] == table and position[1].startswith(prefix)
        ]

    async def commit(self, transaction: Transaction) -> Outcome:
        """Apply a transaction."""
        fault = self._meet_fault()
        if fault is TableFault.late_request:
            self.late.append(transaction)
        if fault is TableFault.lost_answer:
            self.apply(transaction)
        if fault is not TableFault.none:
            raise StoreOutcomeUnknownError('answer lost', remedy=_REMEDY)
        return self.apply(transaction)

    async def read_outcome(self, token: str) -> Outcome | None:
        """Return the outcome of a transaction."""
        self._meet_fault()
        return self._outcomes.get(token)

    def apply(self, transaction: Transaction) -> Outcome:
        """Apply a transaction once for its token."""
        outcome = self._outcomes.get(transaction.token)
        if outcome is None:
            outcome = self._decide(transaction)
            self._outcomes[transaction.token] = outcome
        return outcome

    def _meet_fault(self) -> TableFault:
        fault = self.faults.pop(0) if self.faults else self.default
        if fault is TableFault.down:
            raise StoreUnavailableError('down', remedy=_REMEDY, retry_after=1)
        return fault

    def _decide(self, transaction: Transaction) -> Outcome:
        conflicts = tuple(
            self._find(condition)
            for condition in transaction.conditions
            if self._find(condition).revision != condition.revision
        )
        if conflicts:
            return Outcome(committed=False, conflicts=conflicts)
        for write in transaction.writes:
            self._write(write)
        return Outcome(committed=True)

    def _find(self, condition: Condition) -> Row:
        position = (condition.table, condition.key)
        return self._rows.get(position) or Row(*position, '', 0)

    def _write(self, write: Write) -> None:
        position = (write.table, write.key)
        revision = self._revisions.get(position, 0) + 1
        self._revisions[position] = revision
        if write.body is None:
            self._rows.pop(position, None)
        else:
            self._rows[position] = Row(*position, write.body, revision)
