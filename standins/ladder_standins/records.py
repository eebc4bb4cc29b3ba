"""The ground truth that a stand-in notes down."""

import time
from pathlib import Path
from typing import TextIO

import msgspec


class Record(msgspec.Struct, frozen=True):
    """
    One thing that truly happened at a stand-in.

    Attributes
    ----------
    at : float
        Seconds on the host's monotonic clock.
    kind : str
        What happened.
    subject : str
        The request, row or version it happened to.
    fields : dict of str to str
        Details.

    """

    at: float
    kind: str
    subject: str
    fields: dict[str, str] = {}


class RecordWriter:
    """
    Append records to a file, one JSON line each.

    Parameters
    ----------
    path : Path or None
        The file; None drops the records.

    """

    def __init__(self, path: Path | None) -> None:
        self._file: TextIO | None = path.open('a') if path else None

    def add(self, kind: str, subject: str, **fields: object) -> None:
        """Note down what happened and hand it to the system at once."""
        if self._file is None:
            return
        texts = {name: str(field) for name, field in fields.items()}
        record = Record(time.monotonic(), kind, subject, texts)
        self._file.write(f'{msgspec.json.encode(record).decode()}\n')
        self._file.flush()
