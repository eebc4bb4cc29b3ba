"""Storage of drafts, from which the next lease holder resumes the texts."""

import uuid
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec
from loguru import logger
from prometheus_client import Counter

from ladder_clients.table import (
    PartitionedTableClient,
    Row,
    StoreOutcomeUnknownError,
    Transaction,
    Write,
    report_malformed,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.messages import decode_json
from ladder_node.batches.fence import Fence
from ladder_node.batches.open_batch import Draft, OpenBatch, OpenTask, Stage
from ladder_node.batches.records import DRAFTS_TABLE, find_shard

# Below the table's limits: a transaction has at most 100 entries and 1 MB, and
# a row at most 64 KiB.
_MAX_ROWS = 80
_MAX_CHARACTERS = 400_000
_ROW_CHARACTERS = 14_000

_saved_counter = Counter(
    'ladder_draft_events_saved_total',
    'Events of texts in the making that were written to the table',
)
_failed_counter = Counter(
    'ladder_draft_saves_failed_total',
    'Transactions of texts in the making that were not confirmed',
)


class _Piece(msgspec.Struct, frozen=True, array_like=True):
    """
    Consecutive events of a text, the content of one row.

    Attributes
    ----------
    first : int
        Number of the first event; the events of a text count from one.
    parts : list of str
        Text of each event.
    versions : list of int
        Weight version that produced each event.
    software_id : str
        Identifies the software of the engines that wrote the text; empty in
        rows of earlier builds, whose texts start anew.

    """

    first: int
    parts: list[str]
    versions: list[int]
    software_id: str = ''


@dataclass(frozen=True, slots=True)
class _SaveProgress:
    """How many events of a text are saved, and of which restart of it."""

    restarts: int
    events: int


class DraftSaver:
    """
    Save the events that were generated since the previous save.

    Parameters
    ----------
    table : PartitionedTableClient
        Stores the draft rows.
    fence : Fence
        Provides the condition that no later lease holder has taken over.

    Notes
    -----
    A save that was not confirmed is repeated with the same keys and contents.
    The holder's epoch and the number of restarts of the text identify a
    lineage. The pieces of one lineage stem from one text in the memory of one
    process, so only these may be joined. A new holder that resumes a text
    saves all of it again under its own epoch.

    """

    def __init__(self, table: PartitionedTableClient, fence: Fence) -> None:
        self._table = table
        self._fence = fence
        self._progress: dict[str, _SaveProgress] = {}
        self._saved_keys: dict[str, dict[str, None]] = {}

    async def save(self, batch: OpenBatch) -> None:
        """
        Write the new events of a batch's unfinished tasks.

        Explanation
        -----------
        The saved drafts of tasks whose result is durable are removed, so that
        a new holder reads only drafts that it needs.

        """
        await self._remove_finished(batch)
        writes: list[Write] = []
        progress: dict[str, _SaveProgress] = {}
        size = 0
        for task, piece in self._cut_pieces(batch):
            size += sum(len(part) for part in piece.parts)
            if len(writes) >= _MAX_ROWS or size > _MAX_CHARACTERS:
                break
            write = self._make_write(batch, task, piece)
            writes.append(write)
            key = batch.make_key(task)
            self._saved_keys.setdefault(key, {})[write.key] = None
            events = piece.first - 1 + len(piece.parts)
            progress[key] = _SaveProgress(task.draft.restarts, events)
        shard = find_shard(batch.batch_id)
        if writes and await self._commit(shard, writes):
            _saved_counter.inc(len(writes))
            self._progress.update(progress)

    def drop_closed(self, batches: Iterable[OpenBatch]) -> None:
        """Drop the save progress of batches that are no longer open."""
        open_keys = {
            batch.make_key(task)
            for batch in batches
            for task in batch.tasks.values()
        }
        for keys in (self._progress, self._saved_keys):
            for key in keys.keys() - open_keys:
                keys.pop(key)

    async def _remove_finished(self, batch: OpenBatch) -> None:
        finished = [
            batch.make_key(batch.tasks[task_id])
            for task_id in batch.result_writer.durable_task_ids
        ]
        found = [
            (key, row)
            for key in finished
            for row in self._saved_keys.get(key, ())
        ][:_MAX_ROWS]
        shard = find_shard(batch.batch_id)
        writes = [Write(DRAFTS_TABLE, row, None, shard) for _, row in found]
        if writes and await self._commit(shard, writes):
            for key, row in found:
                self._saved_keys[key].pop(row)

    def _cut_pieces(
        self,
        batch: OpenBatch,
    ) -> Iterator[tuple[OpenTask, _Piece]]:
        for task in batch.tasks.values():
            if task.stage is Stage.done:
                continue
            piece = self._cut_piece(batch, task)
            if piece is not None:
                yield task, piece

    def _cut_piece(self, batch: OpenBatch, task: OpenTask) -> _Piece | None:
        draft = task.draft
        saved = self._progress.get(batch.make_key(task), _SaveProgress(0, 0))
        start = saved.events if saved.restarts == draft.restarts else 0
        end = start
        size = 0
        while end < len(draft.event_texts) and size < _ROW_CHARACTERS:
            size += len(draft.event_texts[end])
            end += 1
        if end == start:
            return None
        return _Piece(
            start + 1,
            draft.event_texts[start:end],
            draft.versions[start:end],
            draft.software_id,
        )

    def _make_write(
        self,
        batch: OpenBatch,
        task: OpenTask,
        piece: _Piece,
    ) -> Write:
        key = '/'.join(
            (
                batch.batch_id,
                task.task_id,
                f'{self._fence.epoch:08d}-{task.draft.restarts:04d}',
                f'{piece.first:06d}',
            ),
        )
        body = msgspec.json.encode(piece).decode()
        return Write(DRAFTS_TABLE, key, body, find_shard(batch.batch_id))

    async def _commit(self, shard: str, writes: list[Write]) -> bool:
        """Commit writes; return whether the table confirmed them."""
        conditions = (self._fence.make_condition(shard),)
        try:
            outcome = await self._table.commit(
                Transaction(uuid.uuid4().hex, conditions, tuple(writes)),
            )
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            _failed_counter.inc()
            logger.info('drafts were not saved: {}', error.message)
            return False
        if not outcome.committed:
            self._fence.check_conflicts(shard, outcome.conflicts)
        return outcome.committed


async def load_drafts(
    table: PartitionedTableClient,
    batch_id: str,
) -> dict[str, Draft]:
    """
    Return the saved drafts of a batch, keyed by task.

    Raises
    ------
    StoreUnavailableError
        The table service does not answer.

    """
    rows = await table.scan_partition(
        DRAFTS_TABLE,
        find_shard(batch_id),
        f'{batch_id}/',
    )
    return join_pieces(rows)


def join_pieces(rows: Iterable[Row]) -> dict[str, Draft]:
    """
    Join the pieces of each lineage up to its first gap.

    Parameters
    ----------
    rows : iterable of Row
        Draft rows of one batch, in the order of their keys.

    Returns
    -------
    dict of str to Draft
        The longest draft of each task.

    """
    lineages: dict[tuple[str, str], Draft] = {}
    for row in rows:
        try:
            _, task_id, lineage, _ = row.key.rsplit('/', 3)
            piece = decode_json(row.body, _Piece)
        except ValueError as error:
            report_malformed(DRAFTS_TABLE, row.key, error)
            continue
        draft = lineages.setdefault((task_id, lineage), Draft())
        if piece.first == len(draft.event_texts) + 1:
            draft.event_texts += piece.parts
            draft.versions += piece.versions
            draft.software_id = piece.software_id
    drafts: dict[str, Draft] = {}
    for (task_id, _), draft in lineages.items():
        longest = drafts.get(task_id)
        if longest is None or len(longest.event_texts) < len(draft.event_texts):
            drafts[task_id] = draft
    return drafts
