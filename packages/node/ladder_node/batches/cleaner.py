"""Removal of batches whose retention time is over."""

import uuid

from prometheus_client import Counter

from ladder_clients.objects import ObjectStore
from ladder_clients.table import (
    PartitionedTableClient,
    StoreOutcomeUnknownError,
    Timestamp,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.batches.records import (
    BATCHES_TABLE,
    DRAFTS_TABLE,
    OBJECT_PREFIX,
    POSITIONS_TABLE,
    RESULTS_TABLE,
    TASKS_TABLE,
    BatchHead,
    decode_head,
    list_shards,
    make_end_key,
    split_end_key,
)

# Writes in one transaction, below the table's limit of 100 entries.
_MAX_WRITES = 90
_ROW_TABLES = (TASKS_TABLE, RESULTS_TABLE, DRAFTS_TABLE)

_removed_counter = Counter(
    'ladder_batches_removed_total',
    'Batches that were removed from the table',
)


class BatchCleaner:
    """
    Remove old batches with all of their rows.

    Parameters
    ----------
    table : PartitionedTableClient
        Holds the rows of batches.
    objects : ObjectStore
        Holds the tasks of large batches.
    result_retention_seconds : float
        Minimum time in seconds for which a batch is kept after its acceptance.
    timers : TimerService
        Wall clock of this host.
    timeline : Timeline
        Records each removal and each postponed clean-up.

    """

    def __init__(
        self,
        table: PartitionedTableClient,
        objects: ObjectStore,
        result_retention_seconds: float,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._table = table
        self._objects = objects
        self._result_retention_seconds = result_retention_seconds
        self._timers = timers
        self._timeline = timeline

    async def clean(self) -> None:
        """Remove expired batches; failed removals are retried next time."""
        now = self._table.make_timestamp(self._timers)
        for shard in list_shards():
            try:
                await self._clean_shard(shard, now)
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                self._timeline.record(
                    'clean-up-postponed',
                    shard,
                    error=error.message,
                )

    async def _clean_shard(self, shard: str, now: Timestamp) -> None:
        for row in await self._table.scan_partition(BATCHES_TABLE, shard):
            batch_id, is_end = split_end_key(row.key)
            if is_end:
                continue
            head = decode_head(row)
            if head is None:
                continue
            retention_seconds = max(
                self._result_retention_seconds, head.retention_seconds
            )
            if head.find_age_seconds(now) > 2 * retention_seconds:
                await self._remove(shard, batch_id, head)

    async def _remove(
        self,
        shard: str,
        batch_id: str,
        head: BatchHead,
    ) -> None:
        """
        Remove a batch's rows.

        The head is removed last: if a removal fails, the head is still there
        and the next clean-up finds the remaining rows by it.
        """
        if not head.pieces:
            await self._objects.delete(f'{OBJECT_PREFIX}{batch_id}')
        keys = [
            (table, row.key)
            for table in _ROW_TABLES
            for row in await self._table.scan_partition(
                table,
                shard,
                f'{batch_id}/',
            )
        ]
        keys += [
            (POSITIONS_TABLE, batch_id),
            (BATCHES_TABLE, make_end_key(batch_id)),
            (BATCHES_TABLE, batch_id),
        ]
        for start in range(0, len(keys), _MAX_WRITES):
            writes = tuple(
                Write(table, key, None, shard)
                for table, key in keys[start : start + _MAX_WRITES]
            )
            await self._table.commit(
                Transaction(uuid.uuid4().hex, (), writes),
            )
        _removed_counter.inc()
        self._timeline.record('batch-removed', batch_id)
