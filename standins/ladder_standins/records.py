"""
Records of what happened at a stand-in.

Tests compare them, as the ground truth, with what the nodes reported.
"""

import time
from pathlib import Path
from typing import TextIO

import msgspec


class Record(msgspec.Struct, frozen=True):
    """
    One event at a stand-in.

    Attributes
    ----------
    at : float
        Time of the event on the monotonic clock of the host, in seconds.
    kind : str
        Kind of the event, such as ``executed``.
    subject : str
        Request, row or engine that the event is about.
    fields : dict of str to str
        Details of the event, as text.

    """

    at: float
    kind: str
    subject: str
    fields: dict[str, str] = {}


class RecordWriter:
    """
    Append records to a file, as one JSON line each.

    Parameters
    ----------
    path : Path or None
        File to append to; None discards the records.

    """

    def __init__(self, path: Path | None) -> None:
        self._file: TextIO | None = path.open('a') if path else None

    def add(self, kind: str, subject: str, **fields: object) -> None:
        """Append a record and flush it, so that it survives a crash."""
        if self._file is None:
            return
        texts = {name: str(field) for name, field in fields.items()}
        record = Record(time.monotonic(), kind, subject, texts)
        self._file.write(f'{msgspec.json.encode(record).decode()}\n')
        self._file.flush()
