"""Command that runs random schedules of faults and checks the promises."""

import asyncio
import collections
import shutil
import sys
from dataclasses import dataclass, field
from pathlib import Path

import defopt

from proof.checkers import (
    check_all,
    check_at_most_once,
    check_configuration,
    check_exactly_once,
    check_leaving_targets,
    check_own_whole_answers,
    check_planned_stops,
    check_refusals,
    check_staleness,
    check_versions,
)
from proof.faults import draw_schedule
from proof.history import Violation
from proof.run import run_history

CHECKERS = (
    check_versions,
    check_staleness,
    check_exactly_once,
    check_own_whole_answers,
    check_refusals,
    check_at_most_once,
    check_leaving_targets,
    check_planned_stops,
    check_configuration,
)
PROMISES = (
    'versions',
    'staleness',
    'exactly-once',
    'own-whole-answer',
    'true-refusal',
    'at-most-once',
    'leaving-target',
    'planned-stop',
    'configuration',
)

_RESULTS_FOLDER = Path('run', 'proof')


@dataclass(slots=True)
class SweepSummary:
    """
    Results of a sweep over several schedules.

    Attributes
    ----------
    runs : int
        Number of runs whose histories were checked.
    failed_runs : list of int
        Seeds of the runs that ended with an error and have no history.
    faults : Counter
        Number of injected faults by kind.
    violations : dict of str to list of int
        For each promise, the seed of every run that violates it, once for
        each violation.

    """

    runs: int = 0
    failed_runs: list[int] = field(default_factory=list)
    faults: collections.Counter[str] = field(
        default_factory=collections.Counter,
    )
    violations: dict[str, list[int]] = field(default_factory=dict)


def prove(
    *,
    seeds: int = 3,
    first_seed: int = 1,
    seconds: float = 10,
    faults: int = 3,
) -> None:
    """
    Run random schedules of faults and check the history of each run.

    The logs, records and timelines of a run are kept if the run fails or
    violates a promise.

    :param seeds: Number of schedules to run.
    :param first_seed: Seed of the first schedule.
    :param seconds: Seconds of load in each run.
    :param faults: Number of faults to inject in each run.
    """
    summary = SweepSummary()
    for seed in range(first_seed, first_seed + seeds):
        _run_seed(summary, seed, seconds, faults)
    _print_summary(summary)
    if summary.violations or summary.failed_runs:
        sys.exit(1)


def main() -> None:
    """Run the command line program."""
    defopt.run(prove)


def _run_seed(
    summary: SweepSummary, seed: int, seconds: float, faults: int
) -> None:
    schedule = draw_schedule(seed, seconds, faults)
    kinds = [fault.kind.value for fault in schedule.faults]
    folder = _RESULTS_FOLDER / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    try:
        history = asyncio.run(run_history(schedule, folder))
    except (ExceptionGroup, OSError) as error:
        _print_line(
            f'seed {seed}: {kinds}: run failed: {error!r}: see {folder}'
        )
        summary.failed_runs.append(seed)
        return
    summary.runs += 1
    summary.faults.update(kinds)
    violations = check_all(history, CHECKERS)
    _print_line(
        f'seed {seed}: {kinds}: {len(history.attempts)} attempts, '
        f'{len(history.deliveries)} samples, {len(violations)} violations',
    )
    for violation in violations:
        _record_violation(summary, violation, seed)
    if not violations:
        shutil.rmtree(folder)


def _record_violation(
    summary: SweepSummary, violation: Violation, seed: int
) -> None:
    summary.violations.setdefault(violation.promise, []).append(seed)
    _print_line(f'  {violation.promise}: {violation.detail}')


def _print_summary(summary: SweepSummary) -> None:
    injected = sum(summary.faults.values())
    _print_line(f'{"promise":18}  runs  faults  violations  first seed')
    for promise in PROMISES:
        seeds = summary.violations.get(promise, [])
        first = str(seeds[0]) if seeds else '-'
        _print_line(
            f'{promise:18}  {summary.runs:4d}  {injected:6d}  '
            f'{len(seeds):10d}  {first:>10}',
        )
    _print_line(f'failed runs: {summary.failed_runs}')
    _print_line(f'faults: {dict(sorted(summary.faults.items()))}')


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
