"""Plots of the measures of runs."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot as plt

from bench.measures import RunMeasures
from bench.report import COLUMNS

_PLOTTED = ('idle share', 'step s p95', 'call p99 s', 'goodput tokens/s')
_WIDTH_INCHES = 12
_HEIGHT_INCHES = 7


def draw_plots(path: Path, measured_runs: Sequence[RunMeasures]) -> None:
    """
    Plot the main measures, with a dot for each run.

    Parameters
    ----------
    path : Path
        PNG file to write.
    measured_runs : sequence of RunMeasures
        Measures of the runs to plot.

    """
    mpl.use('agg')
    names = [f'{run.deployment}\n{run.variant}' for run in measured_runs]
    figure, axes = plt.subplots(
        2,
        2,
        figsize=(_WIDTH_INCHES, _HEIGHT_INCHES),
        layout='constrained',
    )
    plotted = [column for column in COLUMNS if column.title in _PLOTTED]
    for axis, column in zip(axes.flat, plotted, strict=True):
        axis.scatter(names, [column.read(run) for run in measured_runs])
        axis.set_title(column.title)
        axis.set_ylim(bottom=0)
        axis.tick_params(axis='x', labelsize='small')
    figure.savefig(path)
    plt.close(figure)
