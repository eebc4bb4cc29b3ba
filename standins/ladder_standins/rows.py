"""Rows in memory, and the outcomes of the transactions over them."""

from typing import Protocol

from ladder_clients.table import Condition, Outcome, Row, Transaction, Write


class NoteWrite(Protocol):
    """Take note of a change of a row."""

    def __call__(self, kind: str, subject: str, **fields: object) -> None:
        """Note one change."""


class TableRows:
    """
    Rows, and the outcomes of the transactions by token.

    Parameters
    ----------
    note : NoteWrite
        Called for each change of a row.

    """

    def __init__(self, note: NoteWrite) -> None:
        self._note = note
        self._rows: dict[str, dict[str, Row]] = {}
        self._revisions: dict[tuple[str, str], int] = {}
        self._outcomes: dict[str, Outcome] = {}

    def find(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it is absent."""
        return self._rows.get(table, {}).get(key)

    def scan(self, table: str, prefix: str = '') -> list[Row]:
        """Return the rows whose keys start with a prefix, by key."""
        rows = self._rows.get(table, {})
        keys = sorted(key for key in rows if key.startswith(prefix))
        return [rows[key] for key in keys]

    def commit(self, transaction: Transaction) -> Outcome:
        """Apply a transaction once, and return its outcome."""
        outcome = self._outcomes.get(transaction.token)
        if outcome is None:
            outcome = self._apply(transaction)
            self._outcomes[transaction.token] = outcome
        return outcome

    def find_outcome(self, token: str) -> Outcome | None:
        """Return the outcome of a transaction, or None if it was not seen."""
        return self._outcomes.get(token)

    def _apply(self, transaction: Transaction) -> Outcome:
        conflicts = [
            self.find(condition.table, condition.key)
            or Row(condition.table, condition.key, '', 0)
            for condition in transaction.conditions
            if not self._holds(condition)
        ]
        if conflicts:
            return Outcome(committed=False, conflicts=tuple(conflicts))
        for write in transaction.writes:
            self._write(write, transaction.token)
        return Outcome(committed=True)

    def _holds(self, condition: Condition) -> bool:
        row = self.find(condition.table, condition.key)
        revision = row.revision if row else 0
        return condition.revision == revision

    def _write(self, write: Write, token: str) -> None:
        position = (write.table, write.key)
        revision = self._revisions.get(position, 0) + 1
        self._revisions[position] = revision
        rows = self._rows.setdefault(write.table, {})
        if write.body is None:
            rows.pop(write.key, None)
        else:
            rows[write.key] = Row(*position, write.body, revision)
        self._note(
            'row-written',
            f'{write.table}/{write.key}',
            revision=revision,
            token=token,
            body=write.body,
        )
