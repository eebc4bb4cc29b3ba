import os

import pytest

from bench.slopes.fit import Point, fit
from bench.slopes.usage import Usage, read_cpu, read_memory


def test_line_shows_the_slopes_of_its_repeats():
    points = [
        Point(repeat, size, Usage(cpu=1 + (2 + repeat) * size))
        for repeat in (0, 1)
        for size in (1, 2, 3)
    ]
    line = fit(points, lambda usage: usage.cpu)
    assert line.slope == pytest.approx(2.5)
    assert (line.min_slope, line.max_slope) == pytest.approx((2, 3))
    assert line.extrapolate(10) == pytest.approx(26)


def test_own_process_is_read():
    assert read_cpu(os.getpid()) > 0
    assert read_memory(os.getpid()) > 1
