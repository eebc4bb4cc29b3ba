"""Set up the logs of one process."""

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
        Time of day in ISO 8601.
    level : str
        Level by loguru's names.
    message : str
        The kind of an event, or a sentence.
    fields : dict of str to str
        The process (`node`), the thing that it is about (`subject`) and the
        inputs and outcome of a decision.
    error : str
        The exception, if there was one.

    """

    time: str
    level: str
    message: str
    fields: dict[str, str] = {}
    error: str = ''


def configure_logs(node: str, level: str = 'INFO') -> None:
    """
    Send the logs of this process to standard output as JSON lines.

    Parameters
    ----------
    node : str
        Name of the process, bound to each line.
    level : str, optional
        Lowest level that is written.

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
