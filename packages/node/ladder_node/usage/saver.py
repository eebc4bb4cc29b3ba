"""Saves the counts of one node in the store."""

import asyncio
import contextlib
import math
import uuid
from collections.abc import Mapping

import xxhash
from loguru import logger

from ladder_clients.table import (
    Condition,
    Outcome,
    PartitionedTableClient,
    StoreOutcomeUnknownError,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.supervision import TaskComponent
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.usage.counter import UsageCounter, WindowCounts
from ladder_node.usage.metrics import SAVES, UNSAVED
from ladder_node.usage.rows import (
    COUNTS_TABLE,
    CountsRow,
    encode_row,
    find_part,
    format_window,
)

_STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)
# The nodes write within this share of a window after its end, so that they do
# not all write at once.
_SPREAD_SHARE = 0.2
_SPREAD_STEPS = 1024
_MIN_RETRY_SECONDS = 0.5
_MAX_RETRY_SECONDS = 4
# Windows of which a request may still be taken back.
_KEPT_SAVED_WINDOWS = 12
# The holder of the duty gives up older windows.
_KEPT_UNSAVED_WINDOWS = 60
# Each window takes one condition and one write of at most 100 entries.
_MAX_WINDOWS_AT_ONCE = 40
_MAX_ATTEMPTS = 3
# Leaves time for the other components within the time for closing the node.
_CLOSE_SECONDS = 0.6


class UsageSaver(TaskComponent):
    """
    Write one row for each window in which this node counted requests.

    Parameters
    ----------
    table : PartitionedTableClient
        Holds the rows.
    node : str
        Name of this node.
    counter : UsageCounter
        Counts of this node.
    timers : TimerService
        Sleep between two writes.
    timeline : Timeline
        Records each write.

    Notes
    -----
    The row of the current window is written in the middle of the window, and
    again after its end if there were further requests. Each write requires the
    revision of the row that this process knows, so a write that takes effect
    late does not replace a newer one.

    """

    def __init__(
        self,
        table: PartitionedTableClient,
        node: str,
        counter: UsageCounter,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        super().__init__()
        self._table = table
        self._counter = counter
        self._clock = counter.clock
        self._timers = timers
        self._timeline = timeline
        self._part = find_part(node)
        self._key_suffix = f'{node}/{uuid.uuid4().hex[:8]}'
        digest = xxhash.xxh3_64_intdigest(node.encode())
        spread = _SPREAD_SHARE * (digest % _SPREAD_STEPS) / _SPREAD_STEPS
        self._delay_seconds = spread * self._clock.window_seconds
        self._failures = 0

    async def close(self) -> None:
        """Stop the periodic writes and save what is not saved."""
        is_started = self._task is not None
        await super().close()
        if not is_started:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CLOSE_SECONDS):
                await self.save(self._clock.find_window())

    async def save(self, last_window: int) -> bool:
        """
        Save the windows up to one; return whether all of them are saved.

        Parameters
        ----------
        last_window : int
            Latest window to save.

        """
        is_saved = True
        for _ in range(_MAX_ATTEMPTS):
            unsaved = self._counter.list_unsaved(last_window)
            if not unsaved:
                break
            # The newest windows can still be part of their reports.
            newest = sorted(unsaved)[-_MAX_WINDOWS_AT_ONCE:]
            is_saved = await self._try_write(
                {window: unsaved[window] for window in newest}
            )
            if not is_saved:
                break
        UNSAVED.set(len(self._counter.list_unsaved(last_window)))
        return is_saved

    async def _run(self) -> None:
        while True:
            await self._timers.sleep(self._find_pause())
            current = self._clock.find_window()
            self._counter.discard(
                current - _KEPT_SAVED_WINDOWS, current - _KEPT_UNSAVED_WINDOWS
            )
            half = self._clock.window_seconds / 2
            is_past_middle = self._clock.now() + half >= self._clock.find_end(
                current
            )
            last_window = current if is_past_middle else current - 1
            is_saved = await self.save(last_window)
            self._failures = 0 if is_saved else self._failures + 1

    def _find_pause(self) -> float:
        """Return the seconds until the next save."""
        half = self._clock.window_seconds / 2
        elapsed = self._clock.now() - self._delay_seconds
        regular_seconds = half * (math.floor(elapsed / half) + 1) - elapsed
        if not self._failures:
            return regular_seconds
        retry_seconds = min(
            _MIN_RETRY_SECONDS * self._failures, _MAX_RETRY_SECONDS
        )
        return min(regular_seconds, retry_seconds)

    async def _try_write(self, windows: Mapping[int, WindowCounts]) -> bool:
        """Write windows; return whether the store has answered."""
        written = {
            window: (counts.changes, counts.total)
            for window, counts in windows.items()
        }
        try:
            outcome = await self._write(windows)
        except _STORE_ERRORS as error:
            logger.warning('usage not saved, tried again: {}', error)
            SAVES.labels('failed').inc()
            return False
        if not outcome.committed:
            # A write whose response was lost took effect.
            SAVES.labels('conflict').inc()
            revisions = {row.key: row.revision for row in outcome.conflicts}
            for window, counts in windows.items():
                key = self._make_key(window)
                counts.revision = revisions.get(key, counts.revision)
            return True
        SAVES.labels('saved').inc()
        for window, counts in windows.items():
            changes, total = written[window]
            counts.saved_changes = changes
            counts.revision = outcome.revision
            self._timeline.record(
                'usage-saved',
                str(window),
                requests=total,
                row=self._make_key(window),
            )
        return True

    async def _write(self, windows: Mapping[int, WindowCounts]) -> Outcome:
        conditions = []
        writes = []
        offset = self._clock.find_offset(self._table.estimate_clock())
        for window, counts in windows.items():
            key = self._make_key(window)
            conditions.append(
                Condition(COUNTS_TABLE, key, counts.revision, self._part)
            )
            body = encode_row(CountsRow(counts.counts, offset))
            writes.append(Write(COUNTS_TABLE, key, body, self._part))
        return await self._table.commit(
            Transaction(uuid.uuid4().hex, tuple(conditions), tuple(writes))
        )

    def _make_key(self, window: int) -> str:
        return f'{format_window(window)}/{self._key_suffix}'
