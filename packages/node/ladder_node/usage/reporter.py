"""Duty that reports the usage of all nodes."""

from dataclasses import dataclass

import msgspec
from loguru import logger

from ladder_clients.cloud import CallOutcome, CloudClient
from ladder_clients.table import (
    PartitionedTableClient,
    Row,
    StoreOutcomeUnknownError,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.leases import Lease, LeaseCandidate
from ladder_node.routes import RouteCache
from ladder_node.singleton_duties import (
    DutyCalls,
    DutyRefusedError,
    SingletonDuty,
)
from ladder_node.usage.holder_clock import HolderClock
from ladder_node.usage.late_rows import LateRows
from ladder_node.usage.ledger import LedgerState, ReportLedger
from ladder_node.usage.metrics import REPORT_DELAY, WINDOWS
from ladder_node.usage.rows import ReportRow, find_row_window, sum_counts

DUTY = 'usage'
# Share of the time for the report after which the counts are read. Rows have
# then had time to arrive, and a new holder still has time to take over.
_FREEZE_SHARE = 0.3
# Older windows are given up; most of their rows are gone.
_MAX_WINDOWS_BEHIND = 60
# Each report takes one condition and one write of at most 100 entries.
_MAX_FREEZES_AT_ONCE = 12
_MAX_REMOVALS_AT_ONCE = 60
_MIN_PAUSE_SECONDS = 0.05
_MAX_PAUSE_SECONDS = 2
_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ReportTerms:
    """
    Timing of the reports.

    Attributes
    ----------
    handover_seconds : float
        Time for which a call without a response may still take effect.
    late_seconds : float
        Time from the end of a window by which its report should arrive.

    """

    handover_seconds: float
    late_seconds: float

    @property
    def freeze_seconds(self) -> float:
        """Time from the end of a window to the freeze of its report."""
        return _FREEZE_SHARE * self.late_seconds


class UsageReporter(SingletonDuty):
    """
    Freeze and send the report of each window.

    Parameters
    ----------
    node : str
        Name of this node.
    candidate : LeaseCandidate
        Tries to acquire the lease of the duty.
    table : PartitionedTableClient
        Holds the rows with the counts of the nodes, and the reports.
    client : CloudClient
        Sends the reports.
    routes : RouteCache
        Tells whether there are organisations.
    clock : HolderClock
        Tells which windows have ended.
    terms : ReportTerms
        Timing of the reports.
    timers : TimerService
        Sleep between two steps.
    timeline : Timeline
        Records each freeze and each report.

    """

    def __init__(  # noqa: WPS211 one argument for each collaborator
        self,
        node: str,
        candidate: LeaseCandidate,
        table: PartitionedTableClient,
        client: CloudClient,
        routes: RouteCache,
        clock: HolderClock,
        terms: ReportTerms,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        super().__init__(
            DUTY, node, candidate, terms.handover_seconds, timers, timeline
        )
        self._client = client
        self._routes = routes
        self._clock = clock
        self._terms = terms
        self._ledger = ReportLedger(table)
        self._late_rows = LateRows(self._ledger, timeline)
        self._answered: set[int] = set()
        self._attempts: dict[int, int] = {}
        self._failures = 0

    def _is_active(self) -> bool:
        table = self._routes.current
        return table is not None and table.organisations is not None

    async def _hold(self, calls: DutyCalls) -> None:
        state: LedgerState | None = None
        while True:
            try:
                state = await self._step(calls, state)
            except StoreOutcomeUnknownError as error:
                logger.warning('usage: the reports are read again: {}', error)
                state = None
            except StoreUnavailableError as error:
                # Nothing was written, so the state is still known.
                logger.warning('usage: the store is not available: {}', error)
            await self._timers.sleep(self._find_pause(calls, state))

    async def _step(
        self, calls: DutyCalls, state: LedgerState | None
    ) -> LedgerState | None:
        """Send one report and freeze what is due; return the state if known."""
        if state is None:
            state = await self._load()
        window = self._choose_pending(state)
        # A window that is chosen before the first call is allowed may be too
        # late by then.
        if window is not None and not calls.first_call_wait():
            await self._report(calls, state.reports[window])
        if not await self._freeze_due(calls.lease, state):
            return None
        if state.next_window is not None:
            await self._late_rows.clean(state.next_window)
        return state

    async def _load(self) -> LedgerState:
        state = await self._ledger.load()
        self._answered &= set(state.reports)
        # The clock of this host may differ from those of the nodes that count.
        rows = await self._ledger.read_oldest_counts()
        self._clock.observe(rows)
        if state.is_progress_lost:
            # Windows up to the present one may have been reported, also by a
            # holder whose clock was ahead by one.
            state.next_window = self._find_last_due() + 2
            state.drop_unfrozen()
        elif state.next_window is None:
            windows = [find_row_window(row) for row in rows]
            state.next_window = min(
                (window for window in windows if window is not None),
                default=None,
            )
        return state

    def _find_last_due(self) -> int:
        """Return the latest window whose report is to be frozen."""
        return self._clock.find_window(self._terms.freeze_seconds) - 1

    async def _freeze_due(self, lease: Lease, state: LedgerState) -> bool:
        """Freeze the reports that are due; return whether they are frozen."""
        last_window = self._find_last_due()
        if state.next_window is None:
            # No node has counts, so the state is read again.
            return False
        first_window = self._skip_old(state.next_window, last_window)
        while first_window <= last_window:
            end = min(first_window + _MAX_FREEZES_AT_ONCE, last_window + 1)
            if not await self._freeze(lease, state, first_window, end):
                return False
            first_window = end
        return True

    def _skip_old(self, next_window: int, last_window: int) -> int:
        """Return the first window to freeze; give up those that are too old."""
        first_window = max(next_window, last_window + 1 - _MAX_WINDOWS_BEHIND)
        if first_window > next_window:
            WINDOWS.labels('skipped').inc(first_window - next_window)
            self._timeline.record(
                'usage-skipped',
                str(next_window),
                next=first_window,
                windows=first_window - next_window,
            )
        return first_window

    async def _freeze(
        self, lease: Lease, state: LedgerState, first_window: int, end: int
    ) -> bool:
        """Freeze the reports of windows before `end`."""
        rows = await self._ledger.read_counts(first_window, end - 1)
        reports = [
            ReportRow(
                window,
                sum_counts(found),
                self._node,
                lease.epoch,
                len(found),
            )
            for window, found in rows.items()
        ]
        answered = sorted(self._answered)[:_MAX_REMOVALS_AT_ONCE]
        is_frozen = await self._ledger.freeze(
            lease, state, reports, end, answered
        )
        if not is_frozen:
            self._timeline.record(
                'usage-not-frozen', str(first_window), epoch=lease.epoch
            )
            return False
        self._answered.difference_update(answered)
        for report in reports:
            self._note_frozen(report, rows[report.window])
        return True

    def _note_frozen(self, report: ReportRow, rows: list[Row]) -> None:
        self._clock.observe(rows)
        self._late_rows.note_frozen(report.window, rows)
        WINDOWS.labels('frozen').inc()
        self._timeline.record(
            'usage-frozen',
            str(report.window),
            epoch=report.epoch,
            rows=report.rows,
            requests=sum(report.counts.values()),
            counts=msgspec.json.encode(report.counts).decode(),
        )

    def _choose_pending(self, state: LedgerState) -> int | None:
        """Return the window whose report is sent next, or None."""
        pending = set(state.reports) - self._answered
        oldest = self._find_last_due() - _MAX_WINDOWS_BEHIND
        for window in sorted(pending):
            if window <= oldest:
                self._give_up(window)
        pending -= self._answered
        return min(pending, key=self._rank, default=None)

    def _rank(self, window: int) -> tuple[int, bool, int]:
        """Return the rank of a report; the lowest is sent first."""
        due_at = self._clock.find_end(window) + self._terms.late_seconds
        is_overdue = due_at < self._clock.now()
        # A report that fails again and again does not hold up the others. What
        # can still arrive in time goes first, then the newest.
        return (
            self._attempts.get(window, 0),
            is_overdue,
            -window if is_overdue else window,
        )

    def _give_up(self, window: int) -> None:
        """Leave out a report that is too old to be sent."""
        self._answered.add(window)
        self._attempts.pop(window, None)
        WINDOWS.labels('given-up').inc()
        self._timeline.record('usage-given-up', str(window))

    async def _report(self, calls: DutyCalls, report: ReportRow) -> None:
        attempts = self._attempts.get(report.window, 0) + 1
        outcome = await calls.make(
            lambda holder: self._client.report_usage(
                holder, report.window, report.counts
            )
        )
        delay_seconds = self._clock.now() - self._clock.find_end(report.window)
        self._timeline.record(
            'usage-report',
            str(report.window),
            epoch=calls.lease.epoch,
            outcome=outcome.value,
            attempt=attempts,
            requests=sum(report.counts.values()),
            delay=round(delay_seconds, 3),
        )
        if outcome is CallOutcome.refused:
            raise DutyRefusedError(
                f'the report of window {report.window} was refused',
                remedy='leave the duty to the holder with a higher token',
            )
        if outcome is not CallOutcome.done:
            self._failures += 1
            self._attempts[report.window] = attempts
            return
        self._failures = 0
        self._attempts.pop(report.window, None)
        self._answered.add(report.window)
        WINDOWS.labels('reported').inc()
        REPORT_DELAY.observe(delay_seconds)

    def _find_pause(self, calls: DutyCalls, state: LedgerState | None) -> float:
        """Return the seconds until the next step."""
        if state is None:
            return _MAX_PAUSE_SECONDS
        due_seconds = self._clock.find_end(self._find_last_due() + 1)
        due_seconds += self._terms.freeze_seconds - self._clock.now()
        pending = set(state.reports) - self._answered
        retry_seconds = _RETRY_SECONDS * self._failures
        if pending - set(self._attempts):
            retry_seconds = 0
        if pending:
            retry_seconds = max(retry_seconds, calls.first_call_wait())
            due_seconds = min(due_seconds, retry_seconds)
        return min(max(due_seconds, _MIN_PAUSE_SECONDS), _MAX_PAUSE_SECONDS)
