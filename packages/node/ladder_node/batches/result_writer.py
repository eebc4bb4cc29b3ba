"""Writing of task results, each at its own position and only once."""

import asyncio
import uuid
from collections import deque
from collections.abc import Callable

from loguru import logger
from prometheus_client import Counter, Histogram

from ladder_clients.table import (
    Condition,
    Outcome,
    PartitionedTableClient,
    StoreOutcomeUnknownError,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.timers import TimerService
from ladder_node.batches.fence import Fence, OwnershipLostError
from ladder_node.batches.records import (
    POSITIONS_TABLE,
    TaskResult,
    TaskState,
    find_shard,
)
from ladder_node.batches.store import BatchStore, ResultIndex

_RETRY_INTERVAL_SECONDS = 0.2
# Below the table's limits: a transaction has at most 100 entries and 1 MB.
_MAX_RESULTS = 24
_MAX_CHARACTERS = 500_000

_results_counter = Counter(
    'ladder_batch_results_total',
    'Results of tasks that were written, by how the task ended',
    ('state',),
)
_write_histogram = Histogram(
    'ladder_batch_result_write_seconds',
    'Time from a result to its durable position',
)


class ResultWriter:
    """
    Append the results of one batch.

    Parameters
    ----------
    batch_id : str
        Identifies the batch, and so the partition that is written.
    store : BatchStore
        Builds the rows of results and reads which results are durable.
    table : PartitionedTableClient
        Commits the transactions.
    fence : Fence
        Provides the condition that no later lease holder has taken over.
    timers : TimerService
        Clock for retries and for the measured write times.
    on_written : callable
        Called with the results of each transaction once they are durable.

    Notes
    -----
    Only one transaction is in flight at a time. It requires that the index of
    results has not changed since it was read, and that no later lease holder
    has fenced the partition. After a lost response the same transaction can
    therefore be sent again and still takes effect at most once: an attempt
    that arrives late finds that its condition no longer holds.

    """

    def __init__(
        self,
        batch_id: str,
        store: BatchStore,
        table: PartitionedTableClient,
        fence: Fence,
        timers: TimerService,
        on_written: Callable[[list[TaskResult]], None],
    ) -> None:
        self._batch_id = batch_id
        self._shard = find_shard(batch_id)
        self._store = store
        self._table = table
        self._fence = fence
        self._timers = timers
        self._on_written = on_written
        self._pending: deque[tuple[float, TaskResult]] = deque()
        self._wake_up = asyncio.Event()
        self._index = ResultIndex()
        self._is_closing = False

    @property
    def count(self) -> int:
        """Number of results that are durable."""
        return len(self._index.task_ids)

    @property
    def durable_task_ids(self) -> tuple[str, ...]:
        """Tasks whose results are durable, in the order of their results."""
        return self._index.task_ids

    async def load(self) -> tuple[str, ...]:
        """
        Read the index of results; return the tasks that have a result.

        Raises
        ------
        StoreUnavailableError
            The table service does not answer.

        """
        await self._read_index()
        return self._index.task_ids

    def add(self, result: TaskResult) -> None:
        """Queue a result for writing."""
        self._pending.append((self._timers.now(), result))
        self._wake_up.set()

    def close(self) -> None:
        """Let `run` end once the queued results are written."""
        self._is_closing = True
        self._wake_up.set()

    async def run(self) -> None:
        """
        Write queued results until closed.

        Raises
        ------
        OwnershipLostError
            Another node writes the results of the batch now.

        """
        while not self._is_closing:
            await self._wake_up.wait()
            self._wake_up.clear()
            while self._pending:
                chosen = self._choose()
                await self._write([result for _, result in chosen])
                self._finish(chosen)

    def _choose(self) -> list[tuple[float, TaskResult]]:
        chosen: list[tuple[float, TaskResult]] = []
        size = 0
        for entry in self._pending:
            size += len(entry[1].text)
            if chosen and size > _MAX_CHARACTERS:
                break
            chosen.append(entry)
            if len(chosen) == _MAX_RESULTS:
                break
        return chosen

    def _finish(self, chosen: list[tuple[float, TaskResult]]) -> None:
        now = self._timers.now()
        for added_at, result in chosen:
            self._pending.popleft()
            _results_counter.labels(result.state).inc()
            _write_histogram.observe(now - added_at)
        self._on_written([result for _, result in chosen])

    async def _write(self, results: list[TaskResult]) -> None:
        durable_task_ids = self._index.task_ids
        expected_task_ids = (
            *durable_task_ids,
            *(result.task_id for result in results),
        )
        writes = self._store.make_result_writes(
            self._batch_id,
            durable_task_ids,
            results,
        )
        while not await self._try_write(writes, expected_task_ids):
            await self._timers.sleep(_RETRY_INTERVAL_SECONDS)
            self._fence.check()

    async def _try_write(
        self,
        writes: list[Write],
        expected_task_ids: tuple[str, ...],
    ) -> bool:
        self._fence.check()
        condition = Condition(
            POSITIONS_TABLE,
            self._batch_id,
            self._index.revision,
            self._shard,
        )
        conditions = (self._fence.make_condition(self._shard), condition)
        try:
            outcome = await self._table.commit(
                Transaction(uuid.uuid4().hex, conditions, tuple(writes)),
            )
            if outcome.committed:
                self._index = ResultIndex(expected_task_ids, outcome.revision)
                return True
            return await self._resolve_conflict(outcome, expected_task_ids)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            logger.info(
                'results of batch {} are not durable yet: {}',
                self._batch_id,
                error.message,
            )
            return False

    async def _resolve_conflict(
        self,
        outcome: Outcome,
        expected_task_ids: tuple[str, ...],
    ) -> bool:
        """Return whether an attempt whose response was lost took effect."""
        self._fence.check_conflicts(self._shard, outcome.conflicts)
        before = self._index.task_ids
        await self._read_index()
        if self._index.task_ids == expected_task_ids:
            return True
        if self._index.task_ids != before:
            raise OwnershipLostError(
                f'batch {self._batch_id} has {self.count} results where'
                f' {len(before)} or {len(expected_task_ids)} were expected',
                remedy='read the batch again under a new lease',
            )
        return False

    async def _read_index(self) -> None:
        self._index = await self._store.read_result_index(self._batch_id)


def make_given_up_result(task_id: str) -> TaskResult:
    """Return the result of a task that was given up."""
    return TaskResult(task_id, TaskState.given_up)
