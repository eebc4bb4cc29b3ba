"""Tables and JSON lines of the measures of runs."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from bench.measures import Quantiles, RunMeasures


@dataclass(frozen=True, slots=True)
class Column:
    """
    A measure in the tables.

    Attributes
    ----------
    title : str
        Name of the measure with its unit.
    read : callable
        Returns the value of the measure for a run.
    digits : int
        Number of digits after the decimal point.

    """

    title: str
    read: Callable[[RunMeasures], float]
    digits: int = 2


def _make_columns(
    title: str,
    read: Callable[[RunMeasures], Quantiles],
    digits: int,
) -> list[Column]:
    return [
        Column(f'{title} p50', lambda run: read(run).p50, digits),
        Column(f'{title} p95', lambda run: read(run).p95, digits),
        Column(f'{title} max', lambda run: read(run).most, digits),
    ]


COLUMNS = (
    Column('idle share', lambda run: run.idle_share, 3),
    Column('unavoidable', lambda run: run.unavoidable_share, 3),
    *_make_columns('stale versions', lambda run: run.stale_versions, 1),
    *_make_columns('stale s', lambda run: run.stale_seconds, 1),
    *_make_columns('step s', lambda run: run.step_seconds, 1),
    Column('goodput tokens/s', lambda run: run.goodput, 0),
    Column('call p50 s', lambda run: run.call_p50, 3),
    Column('call p99 s', lambda run: run.call_p99, 3),
    Column('answered', lambda run: run.answered, 0),
    Column('refused', lambda run: run.refused, 0),
    Column('failed', lambda run: run.failed, 0),
    Column('excess replica s', lambda run: run.excess_replica_seconds, 1),
    Column('link kB', lambda run: run.link_bytes / 1000, 0),
    Column('lost', lambda run: run.lost, 0),
    Column('doubled', lambda run: run.doubled, 0),
    Column('too old', lambda run: run.too_old, 0),
)


_SUMMARY_TITLES = frozenset(
    (
        'idle share',
        'unavoidable',
        'stale versions max',
        'stale s p95',
        'step s p50',
        'step s p95',
        'call p50 s',
        'call p99 s',
        'refused',
        'failed',
        'lost',
        'doubled',
        'too old',
    ),
)


def format_table(measured_runs: Sequence[RunMeasures]) -> str:
    """
    Return a Markdown table with a row for each measure.

    Parameters
    ----------
    measured_runs : sequence of RunMeasures
        Runs to show. Runs that differ only in their seed share a column,
        which shows their mean and, if they differ, their smallest and
        largest value.

    Returns
    -------
    str
        The table.

    """
    groups: dict[str, list[RunMeasures]] = {}
    for run in measured_runs:
        name = f'{run.deployment}, {run.variant}'
        groups.setdefault(name, []).append(run)
    lines = [
        _join(['measure', *groups]),
        _join(['---', *('---:' for _ in groups)]),
    ]
    for column in COLUMNS:
        cells = [_format_cell(column, runs) for runs in groups.values()]
        lines.append(_join([column.title, *cells]))
    return '\n'.join(lines)


def format_summary(measured_runs: Sequence[RunMeasures]) -> str:
    """
    Return a Markdown table with a column for each of the main measures.

    Parameters
    ----------
    measured_runs : sequence of RunMeasures
        Runs to show. Runs that differ only in their seed share a row.

    Returns
    -------
    str
        The table.

    """
    columns = [column for column in COLUMNS if column.title in _SUMMARY_TITLES]
    titles = ['experiment', 'deployment', 'variant', 'seeds']
    titles.extend(column.title for column in columns)
    groups: dict[tuple[str, str, str], list[RunMeasures]] = {}
    for run in measured_runs:
        name = (run.experiment, run.deployment, run.variant)
        groups.setdefault(name, []).append(run)
    lines = [_join(titles), _join(['---' for _ in titles])]
    for names, runs in groups.items():
        cells = [_format_cell(column, runs) for column in columns]
        lines.append(_join([*names, str(len(runs)), *cells]))
    return '\n'.join(lines)


def read_lines(path: Path) -> list[RunMeasures]:
    """Read measures from a file of JSON lines."""
    return msgspec.json.Decoder(RunMeasures).decode_lines(path.read_bytes())


def write_lines(path: Path, measured_runs: Sequence[RunMeasures]) -> None:
    """Write measures to a file, as a JSON line for each run."""
    encoded = [msgspec.json.encode(run).decode() for run in measured_runs]
    path.write_text(''.join(f'{line}\n' for line in encoded))


def _format_cell(column: Column, runs: Sequence[RunMeasures]) -> str:
    figures = [column.read(run) for run in runs]
    mean = f'{np.mean(figures):.{column.digits}f}'
    lowest = f'{min(figures):.{column.digits}f}'
    highest = f'{max(figures):.{column.digits}f}'
    return mean if lowest == highest else f'{mean} ({lowest} to {highest})'


def _join(cells: Sequence[str]) -> str:
    return f'| {" | ".join(cells)} |'
