"""Reader of the records that stand-in targets write."""

from collections.abc import Iterable
from pathlib import Path

import msgspec

from ladder_standins.records import Record
from proof.history.events import Execution, GeneratedTokens, History


def read_target_records(history: History, paths: Iterable[Path]) -> None:
    """
    Add the executions and tokens that targets recorded to a history.

    Parameters
    ----------
    history : History
        Receives the executions and the generated tokens.
    paths : iterable of Path
        Record files; the name of each file without its suffix is the name
        of the target that wrote it.

    """
    for path in paths:
        records = [
            msgspec.json.decode(line, type=Record)
            for line in path.read_bytes().splitlines()
        ]
        _read_executions(history, path.stem, records)
        _read_generated(history, records)


def _read_executions(
    history: History,
    target: str,
    records: list[Record],
) -> None:
    for record in records:
        if record.kind == 'executed':
            fields = record.fields
            subject = fields.get('prompt', fields.get('body', ''))
            history.executions.append(Execution(subject, target, record.at))


def _read_generated(history: History, records: list[Record]) -> None:
    requests: dict[str, Record] = {}
    for record in records:
        if record.kind == 'executed':
            requests[record.subject] = record
        elif record.kind == 'generated':
            request = requests[record.subject]
            history.generated_tokens.append(_make_generated(request, record))


def _make_generated(request: Record, record: Record) -> GeneratedTokens:
    return GeneratedTokens(
        prompt=request.fields['prompt'],
        seed=int(request.fields['seed']),
        position=int(record.fields['position']),
        tokens=int(record.fields['tokens']),
        version=int(record.fields['version']),
    )
