import pytest

from bench.slopes.fit import LinearFit
from bench.slopes.role import Scale
from bench.slopes.study import RoleCost
from bench.slopes.tables import (
    BEGIN_MARKER,
    END_MARKER,
    format_tables,
    write_tables,
)

_FLAT = LinearFit(base=0, slope=0, min_slope=0, max_slope=0)


def make_cost(title, cpu, is_control=True, reads=_FLAT):
    return RoleCost(
        title=title,
        scale=Scale('units', (1, 2, 3), 100),
        cpu=cpu,
        memory=LinearFit(60, 0.01, 0.009, 0.011),
        control_bytes=LinearFit(1000, 10, 9, 11),
        is_control=is_control,
        reads=reads,
        writes=_FLAT,
    )


def test_tables_extend_slopes_to_the_target(snapshot):
    costs = [
        make_cost('pool', LinearFit(2, 0.3, 0.2, 0.4)),
        make_cost('entry', LinearFit(1, 3, 3, 3), is_control=False),
        make_cost(
            'membership',
            LinearFit(2.5, -0.001, -0.002, 0.001),
            reads=LinearFit(1, 0, 0, 0),
        ),
        make_cost(
            'fleet', _FLAT, is_control=False, reads=LinearFit(1, 1, 1, 1)
        ),
    ]
    assert format_tables(costs) == snapshot


def test_tables_replace_the_text_between_the_markers(tmp_path):
    page = tmp_path / 'page.md'
    page.write_text(f'before\n{BEGIN_MARKER}\nold\n{END_MARKER}\nafter\n')
    write_tables(page, 'new')
    assert (
        page.read_text()
        == f'before\n{BEGIN_MARKER}\n\nnew\n\n{END_MARKER}\nafter\n'
    )


def test_page_without_markers_is_not_changed(tmp_path):
    page = tmp_path / 'page.md'
    page.write_text('before\n')
    with pytest.raises(ValueError, match='add both lines'):
        write_tables(page, 'new')
    assert page.read_text() == 'before\n'
