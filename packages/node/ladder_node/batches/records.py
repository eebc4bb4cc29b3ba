"""
Rows of batches in the platform's table.

Notes
-----
All rows of a batch lie in one partition, so that they change together. The
partition is chosen by the batch's id among `SHARDS`.

`batches` holds a row for the acceptance of each batch and one for its end;
nodes follow this table. `batch_tasks` holds the tasks in pieces,
`batch_results` the results by position, `batch_positions` which tasks have
one, `batch_drafts` texts that are not yet complete, and `batch_owners` the
node that may write results.
"""

from enum import StrEnum

import msgspec
import xxhash

BATCHES_TABLE = 'batches'
TASKS_TABLE = 'batch_tasks'
RESULTS_TABLE = 'batch_results'
POSITIONS_TABLE = 'batch_positions'
DRAFTS_TABLE = 'batch_drafts'
OWNERS_TABLE = 'batch_owners'

SHARDS = 8
# Characters of one row: under the 64 KiB of the platform, even if each takes
# four bytes.
PIECE_CHARACTERS = 16_000

# Name of the object that holds the tasks of a large batch.
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
        The task.
    state : TaskState
        How it ended.
    text : str
        The whole text of a completed task.
    versions : tuple of int
        Weight versions that produced events of the text.
    score : str
        The scorer's signature of its answer.

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
        Number of its tasks.
    pieces : int
        Rows that hold the tasks; zero if they lie in the object store.
    accepted_at : int
        Milliseconds since the epoch, by the accepting node.
    node : str
        Node that accepted it.
    step_seconds, retention_seconds : float
        The route's times at acceptance.

    """

    total: int
    pieces: int
    accepted_at: int
    node: str
    step_seconds: float
    retention_seconds: float


class OwnerRow(msgspec.Struct, frozen=True):
    """
    Who may write the results of a partition.

    Attributes
    ----------
    node : str
        The node.
    epoch : int
        Fencing token of its lease.

    """

    node: str
    epoch: int


def find_shard(batch_id: str) -> str:
    """
    Return the partition of a batch.

    Examples
    --------
    >>> find_shard('7c41e09b52d6a3f8') == find_shard('7c41e09b52d6a3f8')
    True

    """
    return f's{xxhash.xxh3_64_intdigest(batch_id.encode()) % SHARDS}'


def list_shards() -> list[str]:
    """Return all partitions."""
    return [f's{number}' for number in range(SHARDS)]


def make_end_key(batch_id: str) -> str:
    """Return the key of the row that says that a batch was ended."""
    return f'{batch_id}{_END_SUFFIX}'


def split_end_key(key: str) -> tuple[str, bool]:
    """
    Return the batch of a row of `batches`, and whether it marks its end.

    Examples
    --------
    >>> split_end_key(make_end_key('b')), split_end_key('b')
    (('b', True), ('b', False))

    """
    return key.removesuffix(_END_SUFFIX), key.endswith(_END_SUFFIX)


def make_result_key(batch_id: str, position: int, piece: int = 0) -> str:
    """
    Return the key of a piece of a result; keys are in order of positions.

    Examples
    --------
    >>> make_result_key('b', 7)
    'b/0000007/000'

    """
    return f'{batch_id}/{position:07d}/{piece:03d}'


def parse_position(key: str) -> int:
    """
    Return the position of a result's key.

    Examples
    --------
    >>> parse_position('b/0000007/000')
    7

    """
    return int(key.rsplit('/', 2)[1])


def split_pieces(text: str) -> list[str]:
    """
    Split a text into the contents of rows; at least one.

    Examples
    --------
    >>> split_pieces('')
    ['']

    """
    return [
        text[start : start + PIECE_CHARACTERS]
        for start in range(0, max(len(text), 1), PIECE_CHARACTERS)
    ]
