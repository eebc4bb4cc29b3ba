"""The rows that hold the operators' lists, and the edits of them."""

from dataclasses import dataclass

import msgspec

from ladder_clients.table import (
    Condition,
    Outcome,
    Row,
    TableClient,
    Transaction,
    Write,
)
from ladder_clients.table.errors import StoreOutcomeUnknownError
from ladder_core.errors import ConflictError, StoreUnavailableError
from ladder_core.values import Difference, Lists, compare_lists

_TABLE = 'configuration'
_LISTS = 'lists'
_REVISION = 'revision'
_CHANGES = 'changes/'
_KEPT_CHANGES = 100
_REVISION_DIGITS = 12


@dataclass(frozen=True, slots=True)
class ListsChange:
    """
    What one accepted edit changed.

    Attributes
    ----------
    revision : int
        The revision that it made.
    author : str
        Who applied it.
    differences : tuple of Difference
        The entries that it changed.

    """

    revision: int
    author: str
    differences: tuple[Difference, ...]

    def __str__(self) -> str:
        """Say who changed what, on one line."""
        texts = '; '.join(str(one) for one in self.differences)
        return f'revision {self.revision} by {self.author}: {texts}'


class ConfigurationStore:
    """
    Read and edit the lists' rows.

    Explanation
    -----------
    One row holds the lists, and its row revision is their revision. A small
    row beside it repeats the number, so that nodes can poll it each second.
    One row for each of the latest edits tells the loser of two conflicting
    edits what was changed. An edit writes them all in one transaction.

    Parameters
    ----------
    table : TableClient
        The table service.

    """

    def __init__(self, table: TableClient) -> None:
        self._table = table

    async def read_lists(self) -> Lists:
        """
        Return the committed lists; revision zero before the first edit.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """
        return _decode(await self._table.read(_TABLE, _LISTS))

    async def read_newer(self, revision: int) -> Lists | None:
        """
        Return the committed lists if they are newer than a revision.

        Parameters
        ----------
        revision : int
            Revision that the caller has.

        Returns
        -------
        Lists or None
            None if there is no newer revision; only the small row is read.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """
        mark = await self._table.read(_TABLE, _REVISION)
        if mark is not None and int(mark.body) <= revision:
            return None
        lists = await self.read_lists()
        return lists if lists.revision > revision else None

    async def read_changes(self, after: int) -> list[ListsChange]:
        """
        Return the edits after a revision, as far as they are kept.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """
        rows = await self._table.scan(_TABLE, _CHANGES)
        changes = [
            msgspec.json.decode(row.body, type=ListsChange) for row in rows
        ]
        return [change for change in changes if change.revision > after]

    async def edit(self, lists: Lists) -> None:
        """
        Put lists in force that were made from the revision before theirs.

        Parameters
        ----------
        lists : Lists
            The new lists, with the next revision, author and token.

        Raises
        ------
        ConflictError
            Another edit came first; the message tells who changed what.
        StoreUnavailableError
            The service does not answer; the edit took no effect.
        StoreOutcomeUnknownError
            The edit may have taken effect.

        """
        row = await self._table.read(_TABLE, _LISTS)
        present = _decode(row)
        if present.token == lists.token:
            return
        if present.revision != lists.revision - 1:
            raise await self._explain_conflict(lists)
        condition = Condition(_TABLE, _LISTS, row.revision if row else 0)
        outcome = await self._commit(
            _make_transaction(condition, present, lists),
        )
        if not outcome.committed:
            raise await self._explain_conflict(lists)

    async def _commit(self, transaction: Transaction) -> Outcome:
        """Commit, and after a lost answer find out what became of it."""
        try:
            return await self._table.commit(transaction)
        except StoreOutcomeUnknownError as lost:
            unknown = _make_unknown(transaction.token, lost)
        try:
            outcome = await self._table.read_outcome(transaction.token)
        except StoreUnavailableError as error:
            raise unknown from error
        if outcome is not None:
            return outcome
        # The token keeps a first call that comes late from a second effect.
        try:
            return await self._table.commit(transaction)
        except (StoreOutcomeUnknownError, StoreUnavailableError) as second:
            raise unknown from second

    async def _explain_conflict(self, lists: Lists) -> ConflictError:
        base = lists.revision - 1
        changes = await self.read_changes(base)
        lines = [f'the lists are not at revision {base} any more']
        lines.extend(str(change) for change in changes)
        if not changes:
            present = await self.read_lists()
            lines.append(
                f'they are at revision {present.revision} '
                f'by {present.author or "nobody"}',
            )
        return ConflictError(
            '\n'.join(lines),
            remedy='show the present lists, merge your change, apply again',
        )


def _decode(row: Row | None) -> Lists:
    """Return the lists of a row; empty ones for an absent row."""
    if row is None:
        return Lists()
    return msgspec.json.decode(row.body, type=Lists)


def _make_transaction(
    condition: Condition,
    old: Lists,
    new: Lists,
) -> Transaction:
    change = ListsChange(new.revision, new.author, compare_lists(old, new))
    writes = [
        Write(_TABLE, _LISTS, _encode(new)),
        Write(_TABLE, _REVISION, str(new.revision)),
        Write(_TABLE, _name_change(new.revision), _encode(change)),
    ]
    dropped = new.revision - _KEPT_CHANGES
    if dropped > 0:
        writes.append(Write(_TABLE, _name_change(dropped), None))
    return Transaction(new.token, (condition,), tuple(writes))


def _name_change(revision: int) -> str:
    return f'{_CHANGES}{revision:0{_REVISION_DIGITS}}'


def _encode(value: Lists | ListsChange) -> str:
    return msgspec.json.encode(value).decode()


def _make_unknown(
    token: str,
    lost: StoreOutcomeUnknownError,
) -> StoreOutcomeUnknownError:
    return StoreOutcomeUnknownError(
        'the edit was sent and its outcome is not known',
        remedy=f'show the lists once the store answers; token {token} '
        'in them means that the edit is accepted',
        retry_after=lost.retry_after,
    )
