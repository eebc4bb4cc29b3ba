"""
Rows of batches in the platform's table service.

Notes
-----
All rows of a batch are in one partition, so that one transaction can change
them. The partition is chosen among `SHARD_COUNT` by a hash of the batch's id.

- `batches` has one row for the acceptance of each batch, the head, and one for
  its end. The node that runs the batches follows the changes of this table.
- `batch_tasks` has the submitted tasks, split into pieces.
- `batch_results` has the results, ordered by position.
- `batch_positions` has one row for each batch, the index: the tasks that have
  a result, in the order of their positions.
- `batch_drafts` has the texts that are not yet complete.
- `batch_owners` has one row for each partition: the node that may write
  results to it.
"""

from enum import StrEnum

import msgspec
import xxhash

from ladder_clients.table import Row, Timestamp, report_malformed
from ladder_core.messages import decode_json

BATCHES_TABLE = 'batches'
TASKS_TABLE = 'batch_tasks'
RESULTS_TABLE = 'batch_results'
POSITIONS_TABLE = 'batch_positions'
DRAFTS_TABLE = 'batch_drafts'
OWNERS_TABLE = 'batch_owners'

# Number of partitions.
SHARD_COUNT = 8
# Characters of one row. Even at four bytes each they are below the platform's
# limit of 64 KiB.
PIECE_CHARACTERS = 16_000

# Prefix of the name of the object that holds the tasks of a large batch.
OBJECT_PREFIX = 'batch-'

_END_SUFFIX = '/end'


class TaskState(StrEnum):
    """How a task ended."""

    completed = 'completed'
    given_up = 'given-up'


class TaskResult(msgspec.Struct, frozen=True):
    """
    The result of a task.

    Attributes
    ----------
    task_id : str
        Identifies the task.
    state : TaskState
        Whether the task was completed or given up.
    text : str
        The complete text of a completed task; empty otherwise.
    versions : tuple of int
        Weight versions that produced events of the text.
    score : str
        The signature in the scorer's response.

    """

    task_id: str
    state: TaskState
    text: str = ''
    versions: tuple[int, ...] = ()
    score: str = ''


class BatchHead(msgspec.Struct, frozen=True):
    """
    The row of a batch's acceptance.

    Attributes
    ----------
    total : int
        Number of tasks in the batch.
    pieces : int
        Number of rows that hold the tasks; zero if they are in the object
        store.
    accepted_at : int
        Milliseconds since the Unix epoch, by the clock of the accepting node.
    node : str
        Name of the node that accepted the batch.
    step_seconds, retention_seconds : float
        Step time and retention time of the route, as of the acceptance.
    service_accepted_at : int or None
        Milliseconds by the clock of the table service; None in rows of nodes
        that did not know it.
    organisation : str
        Name of the organisation that submitted it; empty for none.

    """

    total: int
    pieces: int
    accepted_at: int
    node: str
    step_seconds: float
    retention_seconds: float
    service_accepted_at: int | None = None
    organisation: str = ''

    def find_age_seconds(self, now: Timestamp) -> float:
        """Return the seconds since the acceptance."""
        accepted = Timestamp(self.accepted_at, self.service_accepted_at)
        return accepted.find_age_seconds(now)


class OwnerRow(msgspec.Struct, frozen=True):
    """
    The row that names the node that may write the results of a partition.

    Attributes
    ----------
    node : str
        Name of the node.
    epoch : int
        Epoch of the node's lease, which serves as the fencing token.

    """

    node: str
    epoch: int


def decode_head(row: Row) -> BatchHead | None:
    """Return the head of a batch, or None for a malformed row."""
    try:
        return decode_json(row.body, BatchHead)
    except msgspec.DecodeError as error:
        report_malformed(BATCHES_TABLE, row.key, error)
        return None


def find_shard(batch_id: str) -> str:
    """
    Return the partition of a batch.

    Examples
    --------
    >>> find_shard('7c41e09b52d6a3f8') == find_shard('7c41e09b52d6a3f8')
    True

    """
    return f's{xxhash.xxh3_64_intdigest(batch_id.encode()) % SHARD_COUNT}'


def list_shards() -> list[str]:
    """Return the names of all partitions."""
    return [f's{number}' for number in range(SHARD_COUNT)]


def make_end_key(batch_id: str) -> str:
    """Return the key of the row that marks the end of a batch."""
    return f'{batch_id}{_END_SUFFIX}'


def split_end_key(key: str) -> tuple[str, bool]:
    """
    Return the batch of a key of `batches`, and whether the row marks its end.

    Examples
    --------
    >>> split_end_key(make_end_key('b')), split_end_key('b')
    (('b', True), ('b', False))

    """
    return key.removesuffix(_END_SUFFIX), key.endswith(_END_SUFFIX)


def make_result_key(batch_id: str, position: int, piece: int = 0) -> str:
    """
    Return the key of a piece of a result; keys sort by position and piece.

    Examples
    --------
    >>> make_result_key('b', 7)
    'b/0000007/000'

    """
    return f'{batch_id}/{position:07d}/{piece:03d}'


def parse_position(key: str) -> int:
    """
    Return the position in the key of a piece of a result.

    Examples
    --------
    >>> parse_position('b/0000007/000')
    7

    """
    return int(key.rsplit('/', 2)[1])


def split_pieces(text: str) -> list[str]:
    """
    Split a text into pieces that fit into rows; there is at least one piece.

    Examples
    --------
    >>> split_pieces('')
    ['']

    """
    return [
        text[start : start + PIECE_CHARACTERS]
        for start in range(0, max(len(text), 1), PIECE_CHARACTERS)
    ]
