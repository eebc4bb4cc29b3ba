"""Frozen reports in the store, and the counts that they are made of."""

import asyncio
import itertools
import uuid
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from ladder_clients.table import (
    Condition,
    Outcome,
    PartitionedTableClient,
    Row,
    Transaction,
    Write,
    report_malformed,
)
from ladder_core.messages import decode_json
from ladder_node.leases import Lease, make_fencing_condition
from ladder_node.usage.rows import (
    COUNTS_TABLE,
    PROGRESS_KEY,
    REPORTS_TABLE,
    ProgressRow,
    ReportRow,
    encode_row,
    find_row_window,
    format_window,
    list_parts,
)

# Writes in one transaction, below the table's limit of 100 entries.
_MAX_WRITES = 90
# Rows of each partition from which the clocks of the nodes are found.
_OLDEST_ROWS = 24

_Content = TypeVar('_Content', bound=msgspec.Struct)


@dataclass(slots=True)
class LedgerState:
    """
    State of the reports as the holder knows it.

    Attributes
    ----------
    next_window : int or None
        First window that is not frozen; None before the first one was.
    revision : int
        Revision of the row with the progress; zero for no row.
    reports : dict of int to ReportRow
        Frozen reports by window.
    odd_revisions : dict of str to int
        Revisions of rows, by key, that no freeze has written. The freeze of
        their window replaces them.
    is_progress_lost : bool
        Whether the row with the progress can't be read.

    """

    next_window: int | None = None
    revision: int = 0
    reports: dict[int, ReportRow] = field(default_factory=dict)
    odd_revisions: dict[str, int] = field(default_factory=dict)
    is_progress_lost: bool = False

    def drop_unfrozen(self) -> None:
        """
        Drop the reports that no freeze has written.

        A freeze moves the progress beyond its windows in one transaction.
        """
        for window in tuple(self.reports):
            if self.next_window is None or window >= self.next_window:
                self.reports.pop(window)


class ReportLedger:
    """
    Read and write the rows of the reports for the holder of the duty.

    Parameters
    ----------
    table : PartitionedTableClient
        Holds the rows.

    Notes
    -----
    Each freeze requires the revision of the row with the progress, which
    changes with it, and that the lease is still held. So each window is frozen
    at most once, also by a freeze that takes effect late.

    """

    def __init__(self, table: PartitionedTableClient) -> None:
        self._table = table

    async def load(self) -> LedgerState:
        """
        Return the progress and all reports that were frozen.

        Rows that can't be read are reported and left out.

        Raises
        ------
        StoreUnavailableError
            The store does not answer.

        """
        state = LedgerState()
        for row in await self._table.scan(REPORTS_TABLE):
            if row.key == PROGRESS_KEY:
                progress = _decode(row, ProgressRow)
                state.revision = row.revision
                state.is_progress_lost = progress is None
                if progress is not None:
                    state.next_window = progress.next_window
                continue
            state.odd_revisions[row.key] = row.revision
            report = _decode(row, ReportRow)
            if report is not None and row.key == format_window(report.window):
                state.reports[report.window] = report
        if not state.is_progress_lost:
            state.drop_unfrozen()
        return state

    async def freeze(
        self,
        lease: Lease,
        state: LedgerState,
        reports: Iterable[ReportRow],
        next_window: int,
        answered: Collection[int],
    ) -> bool:
        """
        Freeze reports, and remove some that were answered.

        Parameters
        ----------
        lease : Lease
            Lease that must still be held.
        state : LedgerState
            State of the reports, which is updated.
        reports : iterable of ReportRow
            The reports to freeze.
        next_window : int
            First window that is not frozen afterwards.
        answered : collection of int
            Windows whose reports are removed; they were answered.

        Returns
        -------
        bool
            Whether the reports are frozen; otherwise the state is not that of
            the store, or the lease is no longer held.

        Raises
        ------
        StoreUnavailableError
            Nothing was written.
        StoreOutcomeUnknownError
            The reports may be frozen, or may become so later.

        """
        frozen = {report.window: report for report in reports}
        outcome = await self._commit(
            (
                make_fencing_condition(lease),
                Condition(REPORTS_TABLE, PROGRESS_KEY, state.revision),
                *(
                    Condition(
                        REPORTS_TABLE, key, state.odd_revisions.get(key, 0)
                    )
                    for key in map(format_window, frozen)
                ),
            ),
            (
                Write(
                    REPORTS_TABLE,
                    PROGRESS_KEY,
                    encode_row(ProgressRow(next_window)),
                ),
                *(
                    Write(
                        REPORTS_TABLE, format_window(window), encode_row(report)
                    )
                    for window, report in frozen.items()
                ),
                *(
                    Write(REPORTS_TABLE, format_window(window), None)
                    for window in answered
                ),
            ),
        )
        if not outcome.committed:
            return False
        state.next_window = next_window
        state.revision = outcome.revision
        for window in answered:
            state.reports.pop(window, None)
        state.reports.update(frozen)
        return True

    async def read_oldest_counts(self) -> list[Row]:
        """
        Return the oldest rows of nodes, those of some windows.

        Raises
        ------
        StoreUnavailableError
            The store does not answer.

        """
        parts = await asyncio.gather(
            *(
                self._table.scan_partition(
                    COUNTS_TABLE, part, limit=_OLDEST_ROWS
                )
                for part in list_parts()
            )
        )
        return [row for rows in parts for row in rows]

    async def read_counts(
        self, first_window: int, last_window: int
    ) -> dict[int, list[Row]]:
        """
        Return the rows of the nodes by window, for some windows.

        Raises
        ------
        StoreUnavailableError
            The store does not answer.

        """
        found: dict[int, list[Row]] = {
            window: [] for window in range(first_window, last_window + 1)
        }
        # The rows of one window are read by their prefix, since nodes may have
        # written rows of later windows.
        is_single = first_window == last_window
        prefix = f'{format_window(first_window)}/' if is_single else ''
        parts = await asyncio.gather(
            *(
                self._table.scan_partition(
                    COUNTS_TABLE, part, prefix, format_window(first_window)
                )
                for part in list_parts()
            )
        )
        for row in itertools.chain.from_iterable(parts):
            window = find_row_window(row)
            if window is not None and first_window <= window <= last_window:
                found[window].append(row)
        return found

    async def remove_counts(self, part: str, before_window: int) -> list[Row]:
        """
        Remove the oldest rows of nodes in a partition.

        Parameters
        ----------
        part : str
            Partition of the rows.
        before_window : int
            Rows of this window and of later ones are kept.

        Returns
        -------
        list of Row
            The removed rows; empty if there are none left.

        Raises
        ------
        StoreUnavailableError, StoreOutcomeUnknownError
            The rows may not be removed.

        """
        end = format_window(before_window)
        rows = [
            row
            for row in await self._table.scan_partition(
                COUNTS_TABLE, part, limit=_MAX_WRITES
            )
            if row.key < end
        ]
        if rows:
            await self._commit(
                (),
                tuple(Write(COUNTS_TABLE, row.key, None, part) for row in rows),
            )
        return rows

    async def _commit(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Outcome:
        return await self._table.commit(
            Transaction(uuid.uuid4().hex, conditions, writes)
        )


def _decode(row: Row, content_type: type[_Content]) -> _Content | None:
    try:
        return decode_json(row.body, content_type)
    except msgspec.DecodeError as error:
        report_malformed(REPORTS_TABLE, row.key, error)
        return None
