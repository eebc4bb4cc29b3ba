"""Quick start: three steps of one trainer on three nodes, and a summary."""

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import defopt

from ladder_standins.fleet import Fleet, Layout
from ladder_standins.operator import (
    apply_lists,
    save_timeline,
    write_lists,
)
from ladder_standins.trainer import StepReport, StepRequest, Trainer

_FOLDER = Path('run')
_TIMELINE = 'timeline.txt'
_STEP_COUNT = 3
_GROUP_COUNT = 8
_SAMPLES_PER_GROUP = 4
_STALENESS_BOUND = 1
_MODEL = 'cask'
_TRAINER = 'cask-notes'
_SECRET = 'quickstart'
_NODE_NAMES = ('node-1', 'node-2', 'node-3')
_TRAIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class QuickStartResult:
    """
    Outcome of the quick start.

    Attributes
    ----------
    reports : list of StepReport
        Reports of the steps, in order.
    seconds : float
        Duration of all steps, with the training after each.

    """

    reports: list[StepReport]
    seconds: float

    @property
    def is_correct(self) -> bool:
        """Whether every step is complete, without repeats or stale samples."""
        return all(
            report.has_all_groups and not report.doubled and not report.too_old
            for report in self.reports
        )


def quickstart(folder: Path = _FOLDER) -> None:
    """
    Run stand-ins, three nodes and a trainer on the loopback interface.

    :param folder: Folder for settings, logs, records and the timeline.
    """
    result = asyncio.run(_run(folder))
    _print_table(result)
    _print_line(f'merged timeline of all nodes: {folder / _TIMELINE}')
    _print_line(f'logs and records of all processes: {folder}')
    if not result.is_correct:
        sys.exit(1)


def main() -> None:
    """Run the quick start from the command line."""
    defopt.run(quickstart)


async def _run(folder: Path) -> QuickStartResult:
    fleet = Fleet(Layout(), folder)
    _print_line('starting the stand-ins and three nodes')
    try:
        return await _start_and_train(fleet, folder)
    finally:
        _print_line('stopping all processes')
        await fleet.close()


async def _start_and_train(fleet: Fleet, folder: Path) -> QuickStartResult:
    await fleet.start()
    await apply_lists(fleet, write_lists(folder, _SECRET))
    for node in _NODE_NAMES:
        await fleet.controls.wait_for_success(node, '/readyz')
    result = await _train(fleet)
    await save_timeline(fleet, _NODE_NAMES[0], folder / _TIMELINE)
    return result


async def _train(fleet: Fleet) -> QuickStartResult:
    addresses = [fleet.processes.find_address(node) for node in _NODE_NAMES]
    trainer = Trainer(_TRAINER, _SECRET, addresses, _STALENESS_BOUND)
    started_at = time.monotonic()
    reports = []
    for step in range(_STEP_COUNT):
        report = await trainer.run_step(_make_request(step))
        await trainer.close_step(step)
        reports.append(report)
        _print_line(f'step {step}: {report.seconds:.2f} s')
        await fleet.controls.publish(_MODEL, step + 1)
        await asyncio.sleep(_TRAIN_SECONDS)
    return QuickStartResult(reports, time.monotonic() - started_at)


def _make_request(step: int) -> StepRequest:
    prompts = tuple(
        f'note on keg line {group} of night {step}'
        for group in range(_GROUP_COUNT)
    )
    return StepRequest(step, step, _MODEL, prompts, _SAMPLES_PER_GROUP)


def _print_table(result: QuickStartResult) -> None:
    _print_line('step  asked  delivered  twice  too old  seconds  versions')
    for report in result.reports:
        samples = [
            sample
            for group in report.groups.values()
            for sample in group.samples
        ]
        versions = sorted(
            {span.version for sample in samples for span in sample.versions},
        )
        asked = _GROUP_COUNT * _SAMPLES_PER_GROUP
        _print_line(
            f'{report.request.step:4d}  {asked:5d}  {len(samples):9d}  '
            f'{report.doubled:5d}  {report.too_old:7d}  '
            f'{report.seconds:7.2f}  {versions}',
        )
    idle = sum(report.seconds for report in result.reports)
    _print_line(f'trainer idle {idle:.2f} s of {result.seconds:.2f} s')


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
