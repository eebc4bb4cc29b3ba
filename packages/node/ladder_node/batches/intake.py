"""Opening of batches that any node accepted, and closing of ended ones."""

import asyncio
from collections.abc import Callable, Iterable

from prometheus_client import Histogram

from ladder_clients.table import HistoryLostError, Row
from ladder_core.errors import StoreUnavailableError
from ladder_node.batches.dependencies import OwnerDependencies
from ladder_node.batches.fence import Fence
from ladder_node.batches.open_batch import OpenBatch, Stage
from ladder_node.batches.reading import BatchReader
from ladder_node.batches.records import (
    BATCHES_TABLE,
    BatchHead,
    TaskResult,
    decode_head,
    list_shards,
    split_end_key,
)
from ladder_node.batches.registry import BatchRegistry
from ladder_node.batches.result_writer import ResultWriter
from ladder_node.batches.task_group import LeaseTaskGroup
from ladder_node.feeds import LONG_POLL_SECONDS

_RETRY_INTERVAL_SECONDS = 0.25
# The drafts of an ended batch are kept only if it was accepted within this
# time. Groups of a step that ended earlier are not submitted again.
_DRAFT_REUSE_SECONDS = 30

_batch_histogram = Histogram(
    'ladder_batch_seconds',
    'Time from the acceptance of a batch to its last durable result',
    buckets=(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 16, 24),
)


class BatchIntake:
    """
    Follow the changes of the table of batches.

    Parameters
    ----------
    dependencies : OwnerDependencies
        Components of the node, such as the table, the store and the clock.
    fence : Fence
        Fences the partitions under this node's lease.
    registry : BatchRegistry
        Receives the batches that are opened.
    on_open, on_end : callable
        Called with each batch that is opened, and with each open batch that
        its trainer has ended.

    """

    def __init__(
        self,
        dependencies: OwnerDependencies,
        fence: Fence,
        registry: BatchRegistry,
        on_open: Callable[[OpenBatch], None],
        on_end: Callable[[OpenBatch], None],
    ) -> None:
        self._dependencies = dependencies
        self._fence = fence
        self._registry = registry
        self._on_open = on_open
        self._on_end = on_end
        self._known: set[str] = set()
        self._confirmed_at: float | None = None
        self._reader = BatchReader(dependencies, fence)

    async def run(self, task_group: LeaseTaskGroup) -> None:
        """
        Follow the table until cancelled.

        Raises
        ------
        OwnershipLostError
            The lease has expired.

        """
        while True:
            try:
                await self._read_and_watch(task_group)
            except HistoryLostError:
                self._dependencies.timeline.record(
                    'feed-history-lost', BATCHES_TABLE
                )
            except StoreUnavailableError as error:
                self._dependencies.timeline.record(
                    'dependency-lost',
                    f'feed/{BATCHES_TABLE}',
                    error=error.message,
                )
                await self._dependencies.timers.sleep(_RETRY_INTERVAL_SECONDS)
            self._fence.check()

    async def _read_and_watch(self, task_group: LeaseTaskGroup) -> None:
        table = self._dependencies.table
        revision = (await table.snapshot(BATCHES_TABLE)).revision
        shards = await asyncio.gather(
            *(
                table.scan_partition(BATCHES_TABLE, part)
                for part in list_shards()
            ),
        )
        rows = [row for rows in shards for row in rows]
        self._process_rows(rows, self._find_feed_gap(), task_group)
        while True:
            changes = await table.watch(
                BATCHES_TABLE,
                revision,
                LONG_POLL_SECONDS,
            )
            revision = changes.revision
            self._confirmed_at = self._dependencies.timers.now()
            self._process_rows(changes.rows, 0, task_group)

    def _find_feed_gap(self) -> float | None:
        """Return the seconds during which changes may have been missed."""
        if self._confirmed_at is None:
            return None
        return self._dependencies.timers.now() - self._confirmed_at

    def _process_rows(
        self,
        rows: Iterable[Row],
        max_age_seconds: float | None,
        task_group: LeaseTaskGroup,
    ) -> None:
        """
        Open the batches of new rows, and close those with an end row.

        Parameters
        ----------
        rows : iterable of Row
            Rows of the table of batches, known ones included.
        max_age_seconds : float or None
            Largest possible age in seconds of a row that was not known
            before. None if it is not known.
        task_group : LeaseTaskGroup
            Runs the tasks that read the batches.

        """
        heads: dict[str, Row] = {}
        for row in rows:
            batch_id, is_end = split_end_key(row.key)
            if is_end:
                self._end(batch_id)
            else:
                heads[batch_id] = row
        new_ids = [
            batch_id for batch_id in heads if batch_id not in self._known
        ]
        # Open batches are read before the drafts of batches that have ended.
        for batch_id in sorted(new_ids, key=self._registry.is_ended):
            self._known.add(batch_id)
            head = decode_head(heads[batch_id])
            if head is None:
                continue
            self._dependencies.timeline.record(
                'batch-found', batch_id, accepted_by=head.node
            )
            age_seconds = self._find_age_seconds(head, max_age_seconds)
            if not self._registry.is_ended(batch_id):
                task_group.spawn(
                    self._open(batch_id, head, age_seconds, task_group)
                )
            elif age_seconds < _DRAFT_REUSE_SECONDS:
                task_group.spawn(self._keep_drafts(batch_id, head))

    def _find_age_seconds(
        self, head: BatchHead, max_age_seconds: float | None
    ) -> float:
        """Return the seconds since a batch was accepted."""
        now = self._dependencies.table.make_timestamp(self._dependencies.timers)
        age_seconds = head.find_age_seconds(now)
        if max_age_seconds is None:
            return age_seconds
        return min(age_seconds, max_age_seconds)

    async def _open(
        self,
        batch_id: str,
        head: BatchHead,
        age_seconds: float,
        task_group: LeaseTaskGroup,
    ) -> None:
        """Read a batch, register it and start writing its results."""
        if age_seconds > head.retention_seconds + head.step_seconds:
            self._dependencies.timeline.record(
                'batch-expired', batch_id, age=round(age_seconds, 3)
            )
            return
        result_writer = self._make_result_writer(batch_id)
        found = await self._reader.read(batch_id, head, result_writer)
        if (
            self._registry.is_ended(batch_id)
            or len(found.durable_task_ids) >= head.total
        ):
            return
        spec, durable_task_ids = found.spec, found.durable_task_ids
        self._registry.keep_drafts(found.drafts, head.organisation)
        batch = self._registry.add(
            spec, head, result_writer, age_seconds, durable_task_ids
        )
        self._dependencies.timeline.record(
            'batch-opened',
            batch_id,
            epoch=self._fence.epoch,
            step=spec.step,
            model=spec.model,
            min_version=spec.min_version,
            tasks=len(spec.tasks),
            groups=len(batch.groups),
            target_groups=spec.target_groups,
            listed=len(durable_task_ids),
            reused=sum(
                bool(task.draft.event_texts) for task in batch.tasks.values()
            ),
            age=round(age_seconds, 3),
        )
        task_group.spawn(result_writer.run())
        self._on_open(batch)

    async def _keep_drafts(self, batch_id: str, head: BatchHead) -> None:
        """Cache the drafts of an ended batch, for groups submitted again."""
        try:
            drafts = await self._reader.read_unfinished(batch_id, head)
        except StoreUnavailableError as error:
            self._dependencies.timeline.record(
                'drafts-not-read',
                batch_id,
                error=error.message,
            )
            return
        self._registry.keep_drafts(drafts, head.organisation)

    def _make_result_writer(self, batch_id: str) -> ResultWriter:
        return ResultWriter(
            batch_id,
            self._dependencies.store,
            self._dependencies.table,
            self._fence,
            self._dependencies.timers,
            lambda results: self._record_durable(batch_id, results),
        )

    def _end(self, batch_id: str) -> None:
        """Stop all work on a batch that was ended."""
        if self._registry.is_ended(batch_id):
            return
        batch = self._registry.end(batch_id)
        if batch is None:
            return
        stages = [task.stage for task in batch.tasks.values()]
        self._dependencies.timeline.record(
            'batch-ended',
            batch_id,
            done=stages.count(Stage.done),
            total=len(stages),
            left=round(batch.due - self._dependencies.timers.now(), 3),
        )
        batch.result_writer.close()
        self._on_end(batch)

    def _record_durable(
        self,
        batch_id: str,
        results: list[TaskResult],
    ) -> None:
        batch = self._registry.find(batch_id)
        self._dependencies.timeline.record(
            'results-durable',
            batch_id,
            results=','.join(result.task_id for result in results),
            total=batch.head.total if batch else 0,
        )
        if batch is not None and batch.result_writer.count >= batch.head.total:
            self._registry.close(batch_id)
            batch.result_writer.close()
            self._record_completion(batch)

    def _record_completion(self, batch: OpenBatch) -> None:
        opened = batch.due - batch.head.step_seconds
        seconds = self._dependencies.timers.now() - opened
        _batch_histogram.observe(seconds)
        self._dependencies.timeline.record(
            'batch-completed',
            batch.batch_id,
            model=batch.spec.model,
            step=batch.spec.step,
            seconds=round(seconds, 3),
            left=round(batch.due - self._dependencies.timers.now(), 3),
        )
