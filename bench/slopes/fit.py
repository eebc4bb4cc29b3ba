"""Least squares fits of resource usage over size."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np

from bench.slopes.usage import Usage


@dataclass(frozen=True, slots=True)
class Point:
    """
    Measurement of the resource usage at one size.

    Attributes
    ----------
    repeat : int
        Number of the repeat that the measurement belongs to.
    size : float
        Size at which it was measured, in the unit of the role.
    usage : Usage
        Resources that the node used.

    """

    repeat: int
    size: float
    usage: Usage


@dataclass(frozen=True, slots=True)
class LinearFit:
    """
    Line that is fitted by least squares.

    Attributes
    ----------
    base : float
        Value of the line at size zero.
    slope : float
        Increase of the value with one more unit of size.
    min_slope, max_slope : float
        Smallest and largest slope of the lines through single repeats.

    """

    base: float
    slope: float
    min_slope: float
    max_slope: float

    def extrapolate(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit(points: Sequence[Point], read: Callable[[Usage], float]) -> LinearFit:
    """
    Fit a line through one of the figures of resource usage.

    Parameters
    ----------
    points : sequence of Point
        Measurements of one or more repeats, each at two or more sizes.
    read : callable
        Returns the figure to fit.

    Returns
    -------
    LinearFit
        Line through all points, with the range of the slopes of the
        repeats.

    Examples
    --------
    >>> points = [Point(0, size, Usage(cpu=2 + 3 * size)) for size in (1, 5)]
    >>> round(fit(points, lambda usage: usage.cpu).extrapolate(10), 6)
    32.0

    """
    slope, base = _fit_line(points, read)
    repeats = sorted({point.repeat for point in points})
    slopes = [
        _fit_line([point for point in points if point.repeat == repeat], read)[
            0
        ]
        for repeat in repeats
    ]
    return LinearFit(base, slope, min(slopes), max(slopes))


def _fit_line(
    points: Sequence[Point],
    read: Callable[[Usage], float],
) -> tuple[float, float]:
    sizes = [point.size for point in points]
    figures = [read(point.usage) for point in points]
    slope, base = np.polyfit(sizes, figures, 1)
    return float(slope), float(base)
