"""Removal of old rows, with a count of those that came too late."""

from collections.abc import Iterable

from ladder_clients.table import Row
from ladder_core.timeline import Timeline
from ladder_node.usage.ledger import ReportLedger
from ladder_node.usage.metrics import LATE_REQUESTS, LATE_ROWS
from ladder_node.usage.rows import decode_counts, find_row_window, list_parts

# Rows are kept this long after the freeze of their window, so that those that
# come late are seen.
_KEPT_WINDOWS = 12
_MAX_ROUNDS = 20


class LateRows:
    """
    Remove the rows of frozen windows, and count what no report contains.

    Parameters
    ----------
    ledger : ReportLedger
        Removes the rows.
    timeline : Timeline
        Records the late rows.

    Notes
    -----
    Only windows that this process froze are compared with their reports.

    """

    def __init__(self, ledger: ReportLedger, timeline: Timeline) -> None:
        self._ledger = ledger
        self._timeline = timeline
        self._reported: dict[int, dict[str, int]] = {}
        self._next_clean_window = 0

    def note_frozen(self, window: int, rows: Iterable[Row]) -> None:
        """Note the rows that the report of a window contains."""
        self._reported[window] = {row.key: _find_total(row) for row in rows}

    async def clean(self, next_window: int) -> None:
        """
        Remove old rows, if that is due.

        Parameters
        ----------
        next_window : int
            First window that is not frozen.

        Raises
        ------
        StoreUnavailableError, StoreOutcomeUnknownError
            Rows are left, which the next call removes.

        """
        if next_window < self._next_clean_window:
            return
        before_window = next_window - _KEPT_WINDOWS
        for part in list_parts():
            await self._clean_part(part, before_window)
        self._next_clean_window = next_window + _KEPT_WINDOWS
        for window in tuple(self._reported):
            if window < before_window:
                self._reported.pop(window)

    async def _clean_part(self, part: str, before_window: int) -> None:
        for _ in range(_MAX_ROUNDS):
            rows = await self._ledger.remove_counts(part, before_window)
            if not rows:
                return
            for row in rows:
                self._compare(row)

    def _compare(self, row: Row) -> None:
        window = find_row_window(row)
        reported = self._reported.get(window or 0)
        if reported is None:
            return
        requests = _find_total(row) - reported.get(row.key, 0)
        if requests <= 0:
            return
        LATE_ROWS.inc()
        LATE_REQUESTS.inc(requests)
        self._timeline.record(
            'usage-row-late', str(window), row=row.key, requests=requests
        )


def _find_total(row: Row) -> int:
    return sum(decode_counts(row).counts.values())
