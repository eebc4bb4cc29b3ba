"""Logging setup of a process."""

import sys
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from ladder_core.logs.writer import LineWriter

if TYPE_CHECKING:
    from loguru import Message


class LogLine(msgspec.Struct, omit_defaults=True):
    """
    One line of the log.

    Attributes
    ----------
    time : str
        Local time in ISO 8601, with the offset from UTC.
    level : str
        Name of the level in loguru, for example ``INFO``.
    message : str
        Kind of an event, or a sentence.
    fields : dict of str to str
        Name of the process (`node`), the entity concerned (`subject`), and
        the inputs and the outcome of a decision.
    error : str
        Representation of the exception; empty without one.

    """

    time: str
    level: str
    message: str
    fields: dict[str, str] = {}
    error: str = ''


def configure_logs(node: str, level: str = 'INFO') -> None:
    """
    Write the logs of this process to standard output as JSON lines.

    Parameters
    ----------
    node : str
        Name of the process, added to each line as the field `node`.
    level : str, optional
        Lowest level that is written; lower ones are discarded.

    """
    writer = LineWriter(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={'node': node})
    logger.add(
        lambda message: writer.write(_format_line(message)),
        level=level,
        format='{message}',
    )


def _format_line(message: 'Message') -> str:
    record = message.record
    line = LogLine(
        time=record['time'].isoformat(),
        level=record['level'].name,
        message=record['message'],
        fields={name: str(field) for name, field in record['extra'].items()},
        error=repr(record['exception'].value) if record['exception'] else '',
    )
    return msgspec.json.encode(line).decode()
