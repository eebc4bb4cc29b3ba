"""Rows in memory, with their history of changes and their transactions."""

import asyncio
from typing import Protocol

from ladder_clients.table import (
    Condition,
    HistoryLostError,
    Outcome,
    Row,
    RowChanges,
    Transaction,
    Write,
)


class WriteListener(Protocol):
    """Callback for a change of a row."""

    def __call__(self, kind: str, subject: str, **fields: object) -> None:
        """Handle one change, such as by appending a record of it."""


class TableRows:
    """
    Rows by table, partition and key, and transaction outcomes by token.

    Parameters
    ----------
    on_write : WriteListener
        Called after each change of a row.

    """

    def __init__(self, on_write: WriteListener) -> None:
        self._on_write = on_write
        self._rows: dict[tuple[str, str], dict[str, Row]] = {}
        self._revision = 0
        self._outcomes: dict[str, Outcome] = {}
        self._latest_changes: dict[str, dict[tuple[str, str], Row | None]] = {}
        self._change_revisions: dict[tuple[str, str, str], int] = {}
        self._oldest_revision = 0
        self._write_event = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision of the latest transaction that was committed."""
        return self._revision

    def find(self, table: str, key: str, part: str = '') -> Row | None:
        """Return a row, or None if it is absent."""
        return self._rows.get((table, part), {}).get(key)

    def scan(self, table: str, prefix: str = '', part: str = '') -> list[Row]:
        """Return the rows whose keys start with a prefix, ordered by key."""
        rows = self._rows.get((table, part), {})
        keys = sorted(key for key in rows if key.startswith(prefix))
        return [rows[key] for key in keys]

    def list_partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        return sorted(
            part
            for (name, part), rows in self._rows.items()
            if name == table and rows
        )

    def list_changes(self, table: str, after: int) -> RowChanges:
        """
        Return the rows that were written or removed after a revision.

        Raises
        ------
        HistoryLostError
            If the history no longer reaches back to the revision.

        """
        if after < self._oldest_revision:
            raise HistoryLostError(
                f'the history of changes after revision {after} was dropped',
                remedy='read the whole table',
            )
        changes = sorted(
            (self._change_revisions[table, *row_id], row_id, row)
            for row_id, row in self._latest_changes.get(table, {}).items()
            if self._change_revisions[table, *row_id] > after
        )
        return RowChanges(
            rows=tuple(row for _, _, row in changes if row),
            removed=tuple(
                Row(table, row_id[1], '', revision, row_id[0])
                for revision, row_id, row in changes
                if not row
            ),
            revision=self._revision,
        )

    def drop_history(self) -> None:
        """Drop the history of changes up to the current revision."""
        self._oldest_revision = self._revision

    async def wait_for_write(self) -> None:
        """Wait until the next transaction is committed."""
        await self._write_event.wait()

    def commit(self, transaction: Transaction) -> Outcome:
        """
        Apply a transaction and return its outcome.

        A transaction with a token that was seen before is not applied again;
        its first outcome is returned.
        """
        outcome = self._outcomes.get(transaction.token)
        if outcome is None:
            outcome = self._apply(transaction)
            self._outcomes[transaction.token] = outcome
        return outcome

    def find_outcome(self, token: str) -> Outcome | None:
        """Return the outcome for a token, or None if it was never seen."""
        return self._outcomes.get(token)

    def _apply(self, transaction: Transaction) -> Outcome:
        conflicts = [
            self.find(condition.table, condition.key, condition.part)
            or Row(condition.table, condition.key, '', 0, condition.part)
            for condition in transaction.conditions
            if not self._is_met(condition)
        ]
        if conflicts:
            return Outcome(committed=False, conflicts=tuple(conflicts))
        self._revision += 1
        for write in transaction.writes:
            self._write(write, transaction.token)
        self._write_event.set()
        self._write_event = asyncio.Event()
        return Outcome(committed=True, revision=self._revision)

    def _is_met(self, condition: Condition) -> bool:
        row = self.find(condition.table, condition.key, condition.part)
        revision = row.revision if row else 0
        return condition.revision == revision

    def _write(self, write: Write, token: str) -> None:
        rows = self._rows.setdefault((write.table, write.part), {})
        row = None
        if write.body is None:
            rows.pop(write.key, None)
        else:
            row = Row(
                write.table,
                write.key,
                write.body,
                self._revision,
                write.part,
            )
            rows[write.key] = row
        changed = self._latest_changes.setdefault(write.table, {})
        changed[write.part, write.key] = row
        row_id = (write.table, write.part, write.key)
        self._change_revisions[row_id] = self._revision
        self._on_write(
            'row-written',
            f'{write.table}/{write.key}',
            revision=self._revision,
            token=token,
            body=write.body,
        )
