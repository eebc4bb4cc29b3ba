"""Reads and transactions on the rows of batches."""

import uuid
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from ladder_clients.objects import ObjectStore
from ladder_clients.table import (
    Condition,
    PartitionedTableClient,
    Row,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.messages import decode_json
from ladder_core.timers import TimerService
from ladder_core.values import Route
from ladder_node.batches.records import (
    BATCHES_TABLE,
    OBJECT_PREFIX,
    POSITIONS_TABLE,
    RESULTS_TABLE,
    TASKS_TABLE,
    BatchHead,
    TaskResult,
    decode_head,
    find_shard,
    make_end_key,
    make_result_key,
    parse_position,
    split_pieces,
)
from ladder_node.batches.spec import BatchSpec

# Pieces of tasks in one transaction, which has at most 100 entries and 1 MB;
# bodies grow by a third in base64. Larger batches go to the object store.
_MAX_PIECES = 40
# Limits of the results in one response to a reader.
_PAGE_CHARACTERS = 700_000
_PAGE_ROWS = 200


@dataclass(frozen=True, slots=True)
class ResultPage:
    """
    Results of a batch from a position on.

    Attributes
    ----------
    total : int
        Number of tasks in the batch.
    next_position : int
        Position after the last result of this page.
    results : tuple of TaskResult
        The results, in the order of their positions.

    """

    total: int
    next_position: int
    results: tuple[TaskResult, ...]


@dataclass(frozen=True, slots=True)
class ResultIndex:
    """
    Index of the tasks of a batch that have a durable result.

    Attributes
    ----------
    task_ids : tuple of str
        The tasks, in the order of their results' positions.
    revision : int
        Revision of the index row; zero if there is none yet.

    """

    task_ids: tuple[str, ...] = ()
    revision: int = 0


class BatchStore:
    """
    Store batches in the platform's table service and object store.

    Parameters
    ----------
    table : PartitionedTableClient
        Holds all rows.
    objects : ObjectStore
        Holds the tasks of batches that are too large for one transaction.
    node : str
        Name of this node, stored with each acceptance and end of a batch.
    timers : TimerService
        Wall clock of this host, stored with each acceptance.

    """

    def __init__(
        self,
        table: PartitionedTableClient,
        objects: ObjectStore,
        node: str,
        timers: TimerService,
    ) -> None:
        self._timers = timers
        self._table = table
        self._objects = objects
        self._node = node

    async def accept(self, spec: BatchSpec, route: Route) -> bool:
        """
        Store a batch unless it is already stored.

        Parameters
        ----------
        spec : BatchSpec
            The batch as the trainer submitted it.
        route : Route
            Route of the submission, whose time limits are stored too.

        Returns
        -------
        bool
            Whether the batch is new; it is stored in either case.

        Raises
        ------
        StoreUnavailableError
            The batch was not stored.
        StoreOutcomeUnknownError
            The batch may be stored now, or become stored later.

        """
        pieces = split_pieces(msgspec.json.encode(spec).decode())
        if len(pieces) > _MAX_PIECES:
            name = f'{OBJECT_PREFIX}{spec.batch_id}'
            await self._objects.put(name, msgspec.json.encode(spec))
            pieces = []
        shard = find_shard(spec.batch_id)
        head = self._make_head(spec, route, len(pieces))
        writes = [
            Write(BATCHES_TABLE, spec.batch_id, _encode(head), shard),
            *(
                Write(
                    TASKS_TABLE, f'{spec.batch_id}/{number:03d}', piece, shard
                )
                for number, piece in enumerate(pieces)
            ),
        ]
        condition = Condition(BATCHES_TABLE, spec.batch_id, 0, shard)
        outcome = await self._table.commit(
            Transaction(uuid.uuid4().hex, (condition,), tuple(writes)),
        )
        return outcome.committed

    async def find_head(self, batch_id: str) -> BatchHead | None:
        """
        Return the acceptance row of a batch, or None if there is none.

        Raises
        ------
        StoreUnavailableError
            The table service does not answer.

        """
        shard = find_shard(batch_id)
        row = await self._table.read_from_partition(
            BATCHES_TABLE, shard, batch_id
        )
        return decode_head(row) if row else None

    async def is_ended(self, batch_id: str) -> bool:
        """
        Return whether a batch was ended.

        Raises
        ------
        StoreUnavailableError
            The table service does not answer.

        """
        shard = find_shard(batch_id)
        key = make_end_key(batch_id)
        row = await self._table.read_from_partition(BATCHES_TABLE, shard, key)
        return row is not None

    async def end(self, batch_id: str) -> None:
        """
        Store the end of a batch; the call is idempotent.

        Raises
        ------
        StoreUnavailableError
            The end was not stored.
        StoreOutcomeUnknownError
            The end may be stored now, or become stored later.

        """
        shard = find_shard(batch_id)
        write = Write(BATCHES_TABLE, make_end_key(batch_id), self._node, shard)
        await self._table.commit(
            Transaction(uuid.uuid4().hex, (), (write,)),
        )

    async def read_spec(self, batch_id: str, head: BatchHead) -> BatchSpec:
        """
        Return a batch as it was submitted.

        Raises
        ------
        StoreUnavailableError
            The platform does not answer, or returns only part of the batch.

        """
        if head.pieces:
            rows = await self._table.scan_partition(
                TASKS_TABLE,
                find_shard(batch_id),
                f'{batch_id}/',
            )
            body = ''.join(row.body for row in rows).encode()
        else:
            name = f'{OBJECT_PREFIX}{batch_id}'
            body = await self._objects.get(name) or b''
        try:
            return decode_json(body, BatchSpec)
        except msgspec.DecodeError as error:
            raise StoreUnavailableError(
                f'the tasks of batch {batch_id} are not there as a whole',
                remedy='read them again',
                retry_after=1,
            ) from error

    async def read_results(
        self,
        batch_id: str,
        start: int,
        total: int,
    ) -> ResultPage:
        """
        Return the durable results from a position on, up to the page limits.

        Raises
        ------
        StoreUnavailableError
            The table service does not answer.

        """
        rows = await self._table.scan_partition(
            RESULTS_TABLE,
            find_shard(batch_id),
            f'{batch_id}/',
            make_result_key(batch_id, start),
            _PAGE_ROWS,
        )
        results = _join_results(rows)
        return ResultPage(total, start + len(results), tuple(results))

    async def read_result_index(self, batch_id: str) -> ResultIndex:
        """
        Return the index of the tasks of a batch that have a result.

        Raises
        ------
        StoreUnavailableError
            The table service does not answer.

        """
        row = await self._table.read_from_partition(
            POSITIONS_TABLE,
            find_shard(batch_id),
            batch_id,
        )
        if row is None:
            return ResultIndex()
        task_ids = decode_json(row.body, tuple[str, ...])
        return ResultIndex(task_ids, row.revision)

    def make_result_writes(
        self,
        batch_id: str,
        durable_task_ids: Sequence[str],
        results: Sequence[TaskResult],
    ) -> list[Write]:
        """
        Return the writes that append results and update the index.

        Parameters
        ----------
        batch_id : str
            Identifies the batch, and so the partition that is written.
        durable_task_ids : sequence of str
            Tasks that already have a result; the new positions follow theirs.
        results : sequence of TaskResult
            The results to append, in this order.

        """
        shard = find_shard(batch_id)
        writes = [
            Write(
                RESULTS_TABLE,
                make_result_key(
                    batch_id, len(durable_task_ids) + offset, number
                ),
                piece,
                shard,
            )
            for offset, result in enumerate(results)
            for number, piece in enumerate(split_pieces(_encode(result)))
        ]
        task_ids = (*durable_task_ids, *(result.task_id for result in results))
        body = msgspec.json.encode(task_ids).decode()
        writes.append(Write(POSITIONS_TABLE, batch_id, body, shard))
        return writes

    def _make_head(
        self, spec: BatchSpec, route: Route, pieces: int
    ) -> BatchHead:
        now = self._table.make_timestamp(self._timers)
        return BatchHead(
            total=len(spec.tasks),
            pieces=pieces,
            accepted_at=now.wall,
            node=self._node,
            step_seconds=route.step_seconds,
            retention_seconds=route.retention_seconds,
            service_accepted_at=now.service,
            organisation=spec.organisation,
        )


def _join_results(rows: Sequence[Row]) -> list[TaskResult]:
    """
    Join the pieces of results, up to the size limit of a page.

    If the rows reached their limit, pieces of the last result may be missing,
    so that result is left for the next page.
    """
    bodies: dict[int, list[str]] = {}
    for row in rows:
        bodies.setdefault(parse_position(row.key), []).append(row.body)
    if len(rows) >= _PAGE_ROWS and len(bodies) > 1:
        bodies.popitem()
    results: list[TaskResult] = []
    size = 0
    for pieces in bodies.values():
        body = ''.join(pieces)
        size += len(body)
        if results and size > _PAGE_CHARACTERS:
            break
        results.append(decode_json(body, TaskResult))
    return results


def _encode(content: msgspec.Struct) -> str:
    return msgspec.json.encode(content).decode()
