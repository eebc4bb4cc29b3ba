"""Run drawn schedules and print a table of the promises."""

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
from proof.history import Finding
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

_FOLDER = Path('run', 'proof')


@dataclass(slots=True)
class Tally:
    """
    What a sweep found.

    Attributes
    ----------
    runs : int
        Histories checked.
    failed_runs : list of int
        Seeds of runs that did not come to their end.
    faults : Counter
        Injected faults by kind.
    violations : dict of str to list of int
        Seeds by promise, one for each finding.

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
    Sweep drawn schedules of faults and check every history.

    The logs, records and time lines of a run that is not good are kept.

    :param seeds: Number of schedules.
    :param first_seed: Seed of the first schedule.
    :param seconds: Length of the load of each run.
    :param faults: Number of faults of each run.
    """
    tally = Tally()
    for seed in range(first_seed, first_seed + seeds):
        _run_seed(tally, seed, seconds, faults)
    _print_tally(tally)
    if tally.violations or tally.failed_runs:
        sys.exit(1)


def main() -> None:
    """Run the sweep."""
    defopt.run(prove)


def _run_seed(tally: Tally, seed: int, seconds: float, faults: int) -> None:
    schedule = draw_schedule(seed, seconds, faults)
    kinds = [fault.kind.value for fault in schedule.faults]
    folder = _FOLDER / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    try:
        history = asyncio.run(run_history(schedule, folder))
    except (ExceptionGroup, OSError) as error:
        _say(f'seed {seed}: {kinds}: did not end: {error!r}: see {folder}')
        tally.failed_runs.append(seed)
        return
    tally.runs += 1
    tally.faults.update(kinds)
    findings = check_all(history, CHECKERS)
    _say(
        f'seed {seed}: {kinds}: {len(history.attempts)} attempts, '
        f'{len(history.deliveries)} samples, {len(findings)} violations',
    )
    for finding in findings:
        _note(tally, finding, seed)
    if not findings:
        shutil.rmtree(folder)


def _note(tally: Tally, finding: Finding, seed: int) -> None:
    tally.violations.setdefault(finding.promise, []).append(seed)
    _say(f'  {finding.promise}: {finding.detail}')


def _print_tally(tally: Tally) -> None:
    injected = sum(tally.faults.values())
    _say(f'{"promise":18}  runs  faults  violations  first seed')
    for promise in PROMISES:
        seeds = tally.violations.get(promise, [])
        first = str(seeds[0]) if seeds else '-'
        _say(
            f'{promise:18}  {tally.runs:4d}  {injected:6d}  '
            f'{len(seeds):10d}  {first:>10}',
        )
    _say(f'runs that did not end: {tally.failed_runs}')
    _say(f'faults: {dict(sorted(tally.faults.items()))}')


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
