"""Command that collects the log lines of several processes about one id."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from ladder_core.errors import SettingsError
from ladder_core.logs import LogLine
from ladder_core.messages import decode_json

# Kinds of events that can affect any request in progress at their time.
_CONTEXT_KINDS = frozenset(
    (
        'dependency-lost',
        'dependency-regained',
        'duty-begun',
        'duty-ended',
        'lease-lost',
        'member-gone',
        'replica-gone',
        'replica-leaving',
        'replica-said-leaving',
        'replica-superseded',
        'routes-in-force',
        'started',
        'stopping',
        'version-order-ended',
    ),
)
_ROW_FORMAT = '{:<26} {:<22} {:<20} {:<18} {}\n'
_TIME_CHARACTERS = 26


def explain(subject: str, *logs: Path, context: bool = False) -> None:
    """
    Show all log lines about a request, a task, a batch or a replica.

    :param subject: Id of the request, task, batch or replica, or a content.
    :param logs: Log files of processes, in any order.
    :param context: Also show events that affected the nodes in that time.
    """
    lines = sorted(_read_lines(logs), key=lambda line: line.time)
    related = find_related(lines, subject)
    if not related:
        sys.stdout.write(f'no log line mentions {subject}\n')
        return
    first, last = related[0].time, related[-1].time
    for line in lines:
        is_context = (
            context
            and line.message in _CONTEXT_KINDS
            and first <= line.time <= last
        )
        if line in related or is_context:
            sys.stdout.write(_format(line))


def find_related(lines: Iterable[LogLine], subject: str) -> list[LogLine]:
    """
    Return the lines that mention an id, and those about what it belongs to.

    These are its batches and its content, from the fields `batch` and `content`
    of the lines that mention it. The content is the digest that all attempts
    of a request share; its lines say which replicas crashed under it.

    Parameters
    ----------
    lines : iterable of LogLine
        Log lines in order of time.
    subject : str
        Id of a request, task, batch or replica.

    Returns
    -------
    list of LogLine
        Related lines, in the same order.

    Examples
    --------
    >>> run = LogLine('1', 'INFO', 'task-run-ended', {
    ...     'subject': 'task', 'batch': 'b'})
    >>> opened = LogLine('0', 'INFO', 'batch-opened', {'subject': 'b'})
    >>> other = LogLine('0', 'INFO', 'batch-opened', {'subject': 'c'})
    >>> related = find_related([opened, other, run], 'task')
    >>> [line.message for line in related]
    ['batch-opened', 'task-run-ended']
    >>> ended = LogLine('3', 'INFO', 'request-ended', {
    ...     'subject': 'r', 'content': '7f'})
    >>> crashed = LogLine('2', 'INFO', 'replica-crashed', {
    ...     'subject': 'e1', 'contents': '3c,7f'})
    >>> related = find_related([crashed, ended], 'r')
    >>> [line.message for line in related]
    ['replica-crashed', 'request-ended']

    """
    all_lines = list(lines)
    mentioning = [line for line in all_lines if _mentions(line, subject)]
    batches = _collect(mentioning, 'batch')
    digests = _collect(mentioning, 'content')
    return [
        line
        for line in all_lines
        if line.fields.get('subject') in batches
        or any(_mentions(line, one) for one in (subject, *digests))
    ]


def _collect(lines: Iterable[LogLine], name: str) -> set[str]:
    return {line.fields[name] for line in lines if name in line.fields}


def _mentions(line: LogLine, subject: str) -> bool:
    return any(subject in field.split(',') for field in line.fields.values())


def _read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    for path in paths:
        try:
            content = path.read_bytes()
        except OSError as error:
            raise SettingsError(
                f'{path}: {error.strerror}',
                remedy='give the paths of log files of processes',
            ) from error
        for raw in content.splitlines():
            start = raw.find(b'{')
            if start >= 0:
                yield from _decode(raw[start:])


def _decode(raw: bytes) -> Iterator[LogLine]:
    """Yield the decoded line; lines of other programs are skipped."""
    try:
        yield decode_json(raw, LogLine)
    except msgspec.DecodeError:
        return


def _format(line: LogLine) -> str:
    details = ' '.join(
        f'{name}={text}'
        for name, text in line.fields.items()
        if name not in {'node', 'subject'}
    )
    return _ROW_FORMAT.format(
        line.time[:_TIME_CHARACTERS],
        line.fields.get('node', ''),
        line.message,
        line.fields.get('subject', ''),
        f'{details} {line.error}'.strip(),
    )
