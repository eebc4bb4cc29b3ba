"""Reading and editing of the operators' lists in the table service."""

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
from ladder_core.messages import decode_json
from ladder_core.values import Difference, Lists, compare_lists

# Names of the table and of its rows.
_TABLE = 'configuration'
_LISTS_KEY = 'lists'
_REVISION_KEY = 'revision'
_CHANGES_PREFIX = 'changes/'

_MAX_KEPT_CHANGES = 100
_REVISION_DIGITS = 12


@dataclass(frozen=True, slots=True)
class ListsChange:
    """
    Change of the lists by one accepted edit.

    Attributes
    ----------
    revision : int
        Revision of the lists that the edit created.
    author : str
        Operator who applied the edit.
    differences : tuple of Difference
        Differences to the revision before, one for each changed entry.

    """

    revision: int
    author: str
    differences: tuple[Difference, ...]

    def __str__(self) -> str:
        """Return the revision, the author and the differences on one line."""
        texts = '; '.join(str(difference) for difference in self.differences)
        return f'revision {self.revision} by {self.author}: {texts}'


class ConfigurationStore:
    """
    Store of the operators' lists.

    Explanation
    -----------
    One row holds the lists with their revision. A second, small row repeats
    the revision, so that nodes can poll it every second. One row for each of
    the latest 100 edits holds the differences; when two edits conflict, the
    rejected one is told what the other one changed. An edit writes all of
    these rows in one transaction.

    Parameters
    ----------
    table : TableClient
        Client of the table service that holds the rows.

    """

    def __init__(self, table: TableClient) -> None:
        self._table = table

    async def read_lists(self) -> Lists:
        """
        Return the committed lists; empty, at revision zero, before any edit.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """
        return _decode(await self._table.read(_TABLE, _LISTS_KEY))

    async def read_newer(self, revision: int) -> Lists | None:
        """
        Return the committed lists if they are newer than a revision.

        Parameters
        ----------
        revision : int
            Revision of the lists that the caller has.

        Returns
        -------
        Lists or None
            None if there is no newer revision; then usually only the small
            row was read.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """
        newest = await self._table.read(_TABLE, _REVISION_KEY)
        if newest is not None and int(newest.body) <= revision:
            return None
        lists = await self.read_lists()
        return lists if lists.revision > revision else None

    async def read_changes(self, after: int) -> list[ListsChange]:
        """
        Return the changes after a revision, as far as they are kept.

        Parameters
        ----------
        after : int
            Revision whose later changes are returned.

        Raises
        ------
        StoreUnavailableError
            The service does not answer.

        """
        rows = await self._table.scan(_TABLE, _CHANGES_PREFIX)
        changes = [decode_json(row.body, ListsChange) for row in rows]
        return [change for change in changes if change.revision > after]

    async def edit(self, lists: Lists) -> None:
        """
        Replace the committed lists by their next revision.

        Explanation
        -----------
        If the committed lists already have the token of the new ones, the edit
        has taken effect before, and nothing is written.

        Parameters
        ----------
        lists : Lists
            The new lists, with the revision after the one that they were made
            from, their author and the token of the edit.

        Raises
        ------
        ConflictError
            Another edit was committed first; the message says who changed
            what.
        StoreUnavailableError
            The service does not answer; the edit took no effect.
        StoreOutcomeUnknownError
            The edit may have taken effect.

        """
        row = await self._table.read(_TABLE, _LISTS_KEY)
        present = _decode(row)
        if present.token == lists.token:
            return
        if present.revision != lists.revision - 1:
            raise await self._make_conflict_error(lists)
        condition = Condition(_TABLE, _LISTS_KEY, row.revision if row else 0)
        outcome = await self._commit(
            _make_transaction(condition, present, lists),
        )
        if not outcome.committed:
            raise await self._make_conflict_error(lists)

    async def _commit(self, transaction: Transaction) -> Outcome:
        """Commit a transaction; resolve its outcome if the response is lost."""
        try:
            return await self._table.commit(transaction)
        except StoreOutcomeUnknownError as lost:
            unknown = _make_unknown_error(transaction.token, lost)
        try:
            outcome = await self._table.read_outcome(transaction.token)
        except StoreUnavailableError as error:
            raise unknown from error
        if outcome is not None:
            return outcome
        # The token prevents a second effect if the first call is delayed and
        # is executed after this one.
        try:
            return await self._table.commit(transaction)
        except (StoreOutcomeUnknownError, StoreUnavailableError) as second:
            raise unknown from second

    async def _make_conflict_error(self, lists: Lists) -> ConflictError:
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
    """Return the lists in a row, or empty lists if the row is absent."""
    if row is None:
        return Lists()
    return decode_json(row.body, Lists)


def _make_transaction(
    condition: Condition,
    old: Lists,
    new: Lists,
) -> Transaction:
    change = ListsChange(new.revision, new.author, compare_lists(old, new))
    writes = [
        Write(_TABLE, _LISTS_KEY, _encode(new)),
        Write(_TABLE, _REVISION_KEY, str(new.revision)),
        Write(_TABLE, _make_change_key(new.revision), _encode(change)),
    ]
    expired = new.revision - _MAX_KEPT_CHANGES
    if expired > 0:
        writes.append(Write(_TABLE, _make_change_key(expired), None))
    return Transaction(new.token, (condition,), tuple(writes))


def _make_change_key(revision: int) -> str:
    return f'{_CHANGES_PREFIX}{revision:0{_REVISION_DIGITS}}'


def _encode(value: Lists | ListsChange) -> str:
    return msgspec.json.encode(value).decode()


def _make_unknown_error(
    token: str,
    lost: StoreOutcomeUnknownError,
) -> StoreOutcomeUnknownError:
    return StoreOutcomeUnknownError(
        'the edit was sent and its outcome is not known',
        remedy=f'show the lists once the store answers; token {token} '
        'in them means that the edit is accepted',
        retry_after=lost.retry_after,
    )
