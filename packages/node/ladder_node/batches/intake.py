"""Open the batches that any node accepts, and close those that are ended."""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from prometheus_client import Histogram

from ladder_clients.table import HistoryLostError, Row
from ladder_core.errors import StoreUnavailableError
from ladder_node.batches.book import BatchBook
from ladder_node.batches.crew import Crew
from ladder_node.batches.dependencies import OwnerDependencies
from ladder_node.batches.drafts import load_drafts
from ladder_node.batches.fence import Fence
from ladder_node.batches.ledger import Ledger
from ladder_node.batches.records import (
    BATCHES_TABLE,
    BatchHead,
    TaskResult,
    list_shards,
    split_end_key,
)
from ladder_node.batches.spec import BatchSpec
from ladder_node.batches.work import BatchWork, Draft, Stage
from ladder_node.feeds import WAIT_SECONDS

_RETRY_SECONDS = 0.25
_MILLISECONDS = 1000
# Groups of a step that ended longer ago do not come again.
_CARRIED_SECONDS = 30
# Batches that are read at the same time, by a few calls each; the connections
# to the table are shared with the lease and with callers.
_READS_AT_ONCE = 4

_batch_histogram = Histogram(
    'ladder_batch_seconds',
    'Time from the acceptance of a batch to its last durable result',
    buckets=(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 16, 24),
)


@dataclass(frozen=True, slots=True)
class _Found:
    """What the table holds of a batch."""

    spec: BatchSpec
    listed: tuple[str, ...]
    drafts: dict[str, Draft]


class BatchIntake:
    """
    Follow the table of batches.

    Parameters
    ----------
    parts : OwnerDependencies
        What the work needs.
    fence : Fence
        This node's right to write results.
    book : BatchBook
        Takes the batches.
    on_open, on_end : callable
        Called with each batch that is opened, or was ended.

    """

    def __init__(
        self,
        parts: OwnerDependencies,
        fence: Fence,
        book: BatchBook,
        on_open: Callable[[BatchWork], None],
        on_end: Callable[[BatchWork], None],
    ) -> None:
        self._parts = parts
        self._fence = fence
        self._book = book
        self._on_open = on_open
        self._on_end = on_end
        self._known: set[str] = set()
        self._confirmed_at: float | None = None
        self._reading = asyncio.Semaphore(_READS_AT_ONCE)

    async def run(self, crew: Crew) -> None:
        """
        Follow the table until cancelled.

        Raises
        ------
        OwnershipLostError
            The lease has run out.

        """
        while True:
            try:
                await self._read_and_watch(crew)
            except HistoryLostError:
                self._parts.timeline.record('feed-history-lost', BATCHES_TABLE)
            except StoreUnavailableError as error:
                self._parts.timeline.record(
                    'dependency-lost',
                    f'feed/{BATCHES_TABLE}',
                    error=error.message,
                )
                await self._parts.timers.sleep(_RETRY_SECONDS)
            self._fence.check()

    async def _read_and_watch(self, crew: Crew) -> None:
        table = self._parts.table
        revision = (await table.snapshot(BATCHES_TABLE)).revision
        shards = await asyncio.gather(
            *(table.scan_part(BATCHES_TABLE, part) for part in list_shards()),
        )
        rows = [row for rows in shards for row in rows]
        self._take_rows(rows, self._find_gap(), crew)
        while True:
            changes = await table.watch(
                BATCHES_TABLE,
                revision,
                WAIT_SECONDS,
            )
            revision = changes.revision
            self._confirmed_at = self._parts.timers.now()
            self._take_rows(changes.rows, 0, crew)

    def _find_gap(self) -> float | None:
        """Return the seconds for which rows may have been missed."""
        if self._confirmed_at is None:
            return None
        return self._parts.timers.now() - self._confirmed_at

    def _take_rows(
        self,
        rows: Iterable[Row],
        oldest: float | None,
        crew: Crew,
    ) -> None:
        """
        Take rows of batches.

        Parameters
        ----------
        rows : iterable of Row
            The rows.
        oldest : float or None
            Largest age in seconds of a row that was not known; None if only
            the times of day tell, which may differ between hosts.
        crew : Crew
            Takes the work.

        """
        heads: dict[str, Row] = {}
        for row in rows:
            batch_id, is_end = split_end_key(row.key)
            if is_end:
                self._end(batch_id)
            else:
                heads[batch_id] = row
        fresh = [batch_id for batch_id in heads if batch_id not in self._known]
        # Open batches are read before the texts that ended ones have left.
        for batch_id in sorted(fresh, key=self._book.is_ended):
            self._known.add(batch_id)
            head = msgspec.json.decode(heads[batch_id].body, type=BatchHead)
            age = _find_age(head, oldest)
            if not self._book.is_ended(batch_id):
                crew.spawn(self._open(batch_id, head, age, crew))
            elif age < _CARRIED_SECONDS:
                crew.spawn(self._keep_drafts(batch_id, head))

    async def _open(
        self,
        batch_id: str,
        head: BatchHead,
        age: float,
        crew: Crew,
    ) -> None:
        """Read a batch that was accepted, and hand it out."""
        if age > head.retention_seconds + head.step_seconds:
            return
        ledger = self._make_ledger(batch_id)
        async with self._reading:
            found = await self._read(batch_id, head, ledger)
        if self._book.is_ended(batch_id) or len(found.listed) >= head.total:
            return
        spec, listed = found.spec, found.listed
        self._book.keep(found.drafts)
        batch = self._book.add(spec, head, ledger, age, listed)
        self._parts.timeline.record(
            'batch-opened',
            batch_id,
            epoch=self._fence.epoch,
            step=spec.step,
            model=spec.model,
            min_version=spec.min_version,
            tasks=len(spec.tasks),
            groups=len(batch.groups),
            target_groups=spec.target_groups,
            listed=len(listed),
            reused=sum(bool(work.draft.parts) for work in batch.tasks.values()),
            age=round(age, 3),
        )
        crew.spawn(ledger.run())
        self._on_open(batch)

    async def _read(
        self,
        batch_id: str,
        head: BatchHead,
        ledger: Ledger,
    ) -> _Found:
        store, table = self._parts.store, self._parts.table
        while True:
            try:
                listed, spec, drafts = await asyncio.gather(
                    ledger.load(),
                    store.read_spec(batch_id, head),
                    load_drafts(table, batch_id),
                )
            except StoreUnavailableError:
                self._fence.check()
                await self._parts.timers.sleep(_RETRY_SECONDS)
            else:
                return _Found(spec, listed, drafts)

    async def _read_left(
        self,
        batch_id: str,
        head: BatchHead,
    ) -> dict[str, Draft]:
        position = await self._parts.store.read_position(batch_id)
        if len(position.task_ids) >= head.total:
            return {}
        return await load_drafts(self._parts.table, batch_id)

    async def _keep_drafts(self, batch_id: str, head: BatchHead) -> None:
        """Keep the texts of an ended batch, whose groups may come again."""
        try:
            async with self._reading:
                drafts = await self._read_left(batch_id, head)
        except StoreUnavailableError as error:
            self._parts.timeline.record(
                'drafts-not-read',
                batch_id,
                error=error.message,
            )
            return
        self._book.keep(drafts)

    def _make_ledger(self, batch_id: str) -> Ledger:
        return Ledger(
            batch_id,
            self._parts.store,
            self._parts.table,
            self._fence,
            self._parts.timers,
            lambda results: self._note_written(batch_id, results),
        )

    def _end(self, batch_id: str) -> None:
        """Stop all work of a batch that was ended."""
        if self._book.is_ended(batch_id):
            return
        batch = self._book.end(batch_id)
        if batch is None:
            return
        stages = [work.stage for work in batch.tasks.values()]
        self._parts.timeline.record(
            'batch-ended',
            batch_id,
            done=stages.count(Stage.done),
            total=len(stages),
            left=round(batch.due - self._parts.timers.now(), 3),
        )
        batch.ledger.close()
        self._on_end(batch)

    def _note_written(
        self,
        batch_id: str,
        results: list[TaskResult],
    ) -> None:
        batch = self._book.find(batch_id)
        self._parts.timeline.record(
            'results-durable',
            batch_id,
            results=','.join(result.task_id for result in results),
            total=batch.head.total if batch else 0,
        )
        if batch is not None and batch.ledger.count >= batch.head.total:
            self._book.close(batch_id)
            batch.ledger.close()
            self._note_complete(batch)

    def _note_complete(self, batch: BatchWork) -> None:
        opened = batch.due - batch.head.step_seconds
        seconds = self._parts.timers.now() - opened
        _batch_histogram.observe(seconds)
        self._parts.timeline.record(
            'batch-completed',
            batch.batch_id,
            model=batch.spec.model,
            step=batch.spec.step,
            seconds=round(seconds, 3),
            left=round(batch.due - self._parts.timers.now(), 3),
        )


def _find_age(head: BatchHead, oldest: float | None) -> float:
    """Return the seconds since a batch was accepted, as far as known."""
    if oldest == 0:
        return 0
    wall = time.time() * _MILLISECONDS
    age = max((wall - head.accepted_at) / _MILLISECONDS, 0)
    return age if oldest is None else min(age, oldest)
