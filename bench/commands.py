"""Commands of the bench."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

from bench.experiment import Experiment, load_experiment
from bench.experiment_run import ExperimentRun
from bench.measures import RunMeasures
from bench.plots import draw_plots
from bench.report import format_summary, format_table, read_lines, write_lines
from bench.slopes.study import study_roles
from bench.slopes.tables import format_tables, write_tables
from ladder_core.errors import SettingsError

RESULTS = Path('bench-results')
CAPACITY_PAGE = Path('docs/CAPACITY.md')

_EXIT_INVALID_FILE = 2


def run(experiment_path: Path, *, results: Path = RESULTS) -> None:
    """
    Run an experiment and write its table, JSON lines and plots.

    :param experiment_path: YAML file that describes the experiment.
    :param results: Folder in which the experiment gets a folder of its name.
    """
    try:
        experiment = load_experiment(experiment_path)
    except SettingsError as error:
        sys.stderr.write(f'{error.message}\n')
        sys.exit(_EXIT_INVALID_FILE)
    folder = results / experiment.name
    folder.mkdir(parents=True, exist_ok=True)
    started_at = time.monotonic()
    measured_runs = asyncio.run(_run_all(experiment, folder))
    elapsed_seconds = time.monotonic() - started_at
    table = '\n'.join(
        (
            f'{experiment.name}: bin/bench run {experiment_path}',
            f'speed factor {experiment.speed:g}; seeds {experiment.seeds}; '
            f'{elapsed_seconds:.0f} s of real time; '
            f'load {_format_load_averages()}',
            '',
            format_table(measured_runs),
        ),
    )
    (folder / 'table.md').write_text(f'{table}\n')
    write_lines(folder / 'outcomes.jsonl', measured_runs)
    draw_plots(folder / 'plots.png', measured_runs)
    print(table)
    print(f'results written to {folder}')


def summarize(*experiments: str, results: Path = RESULTS) -> None:
    """
    Print one table with the results of several experiments.

    :param experiments: Names of experiments that have results.
    :param results: Folder that the experiments were run with.
    """
    measured_runs = [
        measures
        for name in experiments
        for measures in read_lines(results / name / 'outcomes.jsonl')
    ]
    print(format_summary(measured_runs))


def slopes(
    *,
    repeats: int = 3,
    page: Path = CAPACITY_PAGE,
    results: Path = RESULTS,
) -> None:
    """
    Measure each role of a node at several sizes and write tables to a page.

    :param repeats: Number of times that each role is measured.
    :param page: Markdown page whose tables are replaced.
    :param results: Folder for the files of the processes.
    """
    folder = results / 'slopes'
    started_at = time.monotonic()
    costs = asyncio.run(study_roles(folder, repeats))
    elapsed_seconds = time.monotonic() - started_at
    note = (
        f'`bin/bench slopes --repeats {repeats}`, {elapsed_seconds:.0f} s; '
        f'load of the machine at its end {_format_load_averages()}.'
    )
    tables = f'{note}\n\n{format_tables(costs)}'
    write_tables(page, tables)
    print(tables)


async def _run_all(experiment: Experiment, folder: Path) -> list[RunMeasures]:
    measured_runs = []
    # Variants alternate within a seed, so that load from other programs on
    # the machine affects all variants alike.
    for seed, deployment, variant in itertools.product(
        experiment.seeds,
        experiment.deployments,
        experiment.variants,
    ):
        name = f'{deployment}-{variant.name}-{seed}'
        experiment_run = ExperimentRun(
            experiment, deployment, variant, folder / name
        )
        measures = await experiment_run.run(seed)
        print(f'{name}: idle share {measures.idle_share:.3f}', flush=True)
        measured_runs.append(measures)
    return measured_runs


def _format_load_averages() -> str:
    """Return the load averages of the machine over 1, 5 and 15 minutes."""
    return ' '.join(f'{load:.1f}' for load in os.getloadavg())
