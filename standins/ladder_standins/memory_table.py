"""Table service in the process of the test, with injected faults."""

from enum import StrEnum

from ladder_clients.table import (
    Outcome,
    PartitionedTableClient,
    Row,
    RowChanges,
    StoreOutcomeUnknownError,
    Transaction,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.timers import SystemTimerService, TimerService
from ladder_standins.records import RecordWriter
from ladder_standins.rows import TableRows

_MILLISECONDS_PER_SECOND = 1000
_REMEDY = 'wait until it has recovered'


class TableFault(StrEnum):
    """
    Fault of one call.

    A table that is down refuses reads and transactions. The other faults make
    the outcome of a transaction unknown to its caller: it was applied and its
    response lost, was lost before it was applied, or is applied later.
    """

    none = 'none'
    down = 'down'
    lost_answer = 'lost-answer'
    lost_request = 'lost-request'
    late_request = 'late-request'


class MemoryTable(PartitionedTableClient):
    """
    Table client that keeps the rows in memory, with faults set by a test.

    Parameters
    ----------
    timers : TimerService, optional
        Clock of the service; the clock of the host if absent.

    Attributes
    ----------
    faults : list of TableFault
        Faults of the next calls, in order.
    default_fault : TableFault
        Fault of each call after those in `faults`.
    late_transactions : list of Transaction
        Transactions with the fault `late_request`. They have no effect until
        the test passes them to `apply`.

    """

    def __init__(self, timers: TimerService | None = None) -> None:
        self.timers = timers or SystemTimerService()
        self.faults: list[TableFault] = []
        self.default_fault = TableFault.none
        self.late_transactions: list[Transaction] = []
        self._rows = TableRows(RecordWriter(None).add)

    @property
    def rows(self) -> TableRows:
        """Rows of the table, which tests can examine and change directly."""
        return self._rows

    def estimate_clock(self) -> int | None:
        """Return the clock of the service in milliseconds."""
        return int(self.timers.now() * _MILLISECONDS_PER_SECOND)

    async def read_from_partition(
        self, table: str, part: str, key: str
    ) -> Row | None:
        """Return one row of a partition."""
        self._take_fault()
        return self._rows.find(table, key, part)

    async def scan_partition(
        self,
        table: str,
        part: str,
        prefix: str = '',
        start: str = '',
        limit: int | None = None,
    ) -> list[Row]:
        """Return rows of a partition by prefix, from the key `start` on."""
        self._take_fault()
        rows = self._rows.scan(table, prefix, part)
        return [row for row in rows if row.key >= start][:limit]

    async def list_partitions(self, table: str) -> list[str]:
        """Return the partitions that have rows."""
        self._take_fault()
        return self._rows.list_partitions(table)

    async def snapshot(self, table: str) -> RowChanges:
        """Return all rows of the unnamed partition, with their revision."""
        self._take_fault()
        return RowChanges(
            tuple(self._rows.scan(table)),
            (),
            self._rows.revision,
        )

    async def watch(
        self,
        table: str,
        after: int,
        wait_seconds: float,
    ) -> RowChanges:
        """Wait until a table has changes after a revision, and return them."""
        self._take_fault()
        changes = self._rows.list_changes(table, after)
        while not changes.rows and not changes.removed:
            await self._rows.wait_for_write()
            self._take_fault()
            changes = self._rows.list_changes(table, after)
        return changes

    async def read(self, table: str, key: str) -> Row | None:
        """Return one row of the unnamed partition."""
        self._take_fault()
        return self._rows.find(table, key)

    async def scan(self, table: str, prefix: str = '') -> list[Row]:
        """Return rows of the unnamed partition by prefix."""
        self._take_fault()
        return self._rows.scan(table, prefix)

    async def commit(self, transaction: Transaction) -> Outcome:
        """Apply a transaction, subject to the next fault."""
        fault = self._take_fault()
        if fault is TableFault.late_request:
            self.late_transactions.append(transaction)
        if fault is TableFault.lost_answer:
            self.apply(transaction)
        if fault is not TableFault.none:
            raise StoreOutcomeUnknownError(
                'the answer to the transaction was lost',
                remedy=_REMEDY,
            )
        return self.apply(transaction)

    async def read_outcome(self, token: str) -> Outcome | None:
        """Return the outcome of a transaction, or None if it was not seen."""
        self._take_fault()
        return self._rows.find_outcome(token)

    def apply(self, transaction: Transaction) -> Outcome:
        """Apply a transaction once for its token, without a fault."""
        return self._rows.commit(transaction)

    def _take_fault(self) -> TableFault:
        fault = self.faults.pop(0) if self.faults else self.default_fault
        if fault is TableFault.down:
            raise StoreUnavailableError('down', remedy=_REMEDY, retry_after=1)
        return fault
