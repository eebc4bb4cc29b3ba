"""Rows in which counts and reports of usage are stored."""

import re
from collections import Counter
from collections.abc import Iterable
from typing import Annotated

import msgspec
import xxhash

from ladder_clients.table import Row, report_malformed
from ladder_core.messages import decode_json

COUNTS_TABLE = 'usage_counts'
REPORTS_TABLE = 'usage_reports'
PROGRESS_KEY = 'progress'
# All nodes write their counts shortly after the end of a window. With 360 nodes
# within a second, one partition would exceed the store's 200 transactions per
# second.
_PARTITIONS = 4
_WINDOW_DIGITS = 12
_COUNTS_KEY = re.compile(r'(\d{12})/.+/.+', re.ASCII)
# Larger numbers are not exact in all decoders of JSON, and sums of them can
# not be encoded.
_MAX_NUMBER = 9_007_199_254_740_992

_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]


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

    counts: dict[str, _Count]
    clock_offset: _Milliseconds | None = None


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

    window: _Count
    counts: dict[str, _Count]
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

    next_window: _Count


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
    match = _COUNTS_KEY.fullmatch(row.key)
    return int(match.group(1)) if match else None


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
    """
    Return the sum of the counts of rows, without organisations at zero.

    A row that can't be read is reported and left out.
    """
    total: Counter[str] = Counter()
    for row in rows:
        try:
            total.update(decode_json(row.body, CountsRow).counts)
        except msgspec.DecodeError as error:
            report_malformed(COUNTS_TABLE, row.key, error)
    return {name: count for name, count in sorted(total.items()) if count > 0}


def encode_row(content: msgspec.Struct) -> str:
    """Return the body of a row."""
    return msgspec.json.encode(content).decode()
