"""Rows in which counts and reports of usage are stored."""

from collections import Counter
from collections.abc import Iterable

import msgspec
import xxhash

from ladder_clients.table import Row
from ladder_core.messages import decode_json

COUNTS_TABLE = 'usage_counts'
REPORTS_TABLE = 'usage_reports'
PROGRESS_KEY = 'progress'
# All nodes write their counts shortly after the end of a window. With 360 nodes
# within a second, one partition would exceed the store's 200 transactions per
# second.
_PARTITIONS = 4
_WINDOW_DIGITS = 12


class CountsRow(msgspec.Struct, frozen=True):
    """
    Counts of one window by one process of a node.

    Attributes
    ----------
    counts : dict of str to int
        Number of requests by organisation.
    clock_offset : int or None
        Milliseconds by which the time of the node was ahead of the steady
        clock of the store; None if the node did not know that clock.

    """

    counts: dict[str, int]
    clock_offset: int | None = None


class ReportRow(msgspec.Struct, frozen=True):
    """
    A frozen report, which is sent unchanged until it is answered.

    Attributes
    ----------
    window : int
        Number of the window.
    counts : dict of str to int
        Number of requests by organisation.
    holder : str
        Name of the node that froze it.
    epoch : int
        Fencing token under which it was frozen.
    rows : int
        Number of rows of nodes that it sums up.

    """

    window: int
    counts: dict[str, int]
    holder: str = ''
    epoch: int = 0
    rows: int = 0


class ProgressRow(msgspec.Struct, frozen=True):
    """
    Progress of the reports.

    Attributes
    ----------
    next_window : int
        First window that is not frozen. All windows before it were frozen or
        given up, and none of them is ever frozen again.

    """

    next_window: int


def list_parts() -> list[str]:
    """Return the partitions of the rows with counts."""
    return [f'usage-{number}' for number in range(_PARTITIONS)]


def find_part(node: str) -> str:
    """Return the partition of the rows of a node."""
    digest = xxhash.xxh3_64_intdigest(node.encode())
    return list_parts()[digest % _PARTITIONS]


def format_window(window: int) -> str:
    """
    Return the text of a window's number, which sorts like the number.

    Examples
    --------
    >>> format_window(353_445_120)
    '000353445120'

    """
    return f'{window:0{_WINDOW_DIGITS}d}'


def find_row_window(row: Row) -> int | None:
    """Return the window of a row; None if its key names none."""
    digits = row.key[:_WINDOW_DIGITS]
    return int(digits) if digits.isdecimal() else None


def find_row_node(row: Row) -> str:
    """Return the name of the node that wrote a row."""
    return row.key.partition('/')[2].rpartition('/')[0]


def decode_counts(row: Row) -> CountsRow:
    """Return the content of a row; no counts if the row is malformed."""
    try:
        return decode_json(row.body, CountsRow)
    except msgspec.DecodeError:
        return CountsRow({})


def sum_counts(rows: Iterable[Row]) -> dict[str, int]:
    """Return the sum of the counts of rows, without organisations at zero."""
    total: Counter[str] = Counter()
    for row in rows:
        total.update(decode_counts(row).counts)
    return {name: count for name, count in sorted(total.items()) if count > 0}


def encode_row(content: msgspec.Struct) -> str:
    """Return the body of a row."""
    return msgspec.json.encode(content).decode()
