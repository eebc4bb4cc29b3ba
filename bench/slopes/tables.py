"""Tables of costs for the page docs/CAPACITY.md."""

from collections.abc import Sequence
from pathlib import Path

from bench.slopes.fit import LinearFit
from bench.slopes.study import RoleCost

BEGIN_MARKER = '<!-- written by bin/bench slopes -->'
END_MARKER = '<!-- end of bin/bench slopes -->'

_TARGET_NODES = 360
_CPU_BUDGET_MILLISECONDS_PER_SECOND = 12
_MEMORY_BUDGET_MEGABYTES = 32
_BYTES_BUDGET_PER_SECOND = 9000
_READS_BUDGET_PER_SECOND = 2000
_KILO = 1000


def format_tables(costs: Sequence[RoleCost]) -> str:
    """
    Return the Markdown tables of the page.

    Parameters
    ----------
    costs : sequence of RoleCost
        Costs of all roles.

    Returns
    -------
    str
        Tables of the processor time, of the memory and bytes, of the budget
        of the control tasks, and of the calls of the table service.

    """
    return '\n\n'.join(
        (
            _format_cpu(costs),
            _format_memory(costs),
            _format_budget(costs),
            _format_ledger(costs),
        ),
    )


def write_tables(page: Path, tables: str) -> None:
    """
    Replace the tables between the two markers of the page.

    Raises
    ------
    ValueError
        The page lacks one of the markers.

    """
    text = page.read_text()
    if BEGIN_MARKER not in text or END_MARKER not in text:
        raise ValueError(
            f'{page} lacks {BEGIN_MARKER!r} or {END_MARKER!r}: add both lines'
        )
    head = text.partition(BEGIN_MARKER)[0]
    tail = text.partition(END_MARKER)[2]
    page.write_text(f'{head}{BEGIN_MARKER}\n\n{tables}\n\n{END_MARKER}{tail}')


def _format_cpu(costs: Sequence[RoleCost]) -> str:
    rows = [
        [
            cost.title,
            cost.scale.unit,
            ', '.join(f'{size:g}' for size in cost.scale.sizes),
            _format_slope(cost.cpu),
            f'{cost.cpu.base:.1f}',
            f'{cost.scale.target:g}',
            f'{_find_added_cost(cost, cost.cpu):.1f}',
        ]
        for cost in costs
    ]
    titles = [
        'role',
        'unit',
        'measured at',
        'ms/s a unit (repeats)',
        'at zero ms/s',
        'target',
        'added at target ms/s',
    ]
    return f'Processor time.\n\n{_format_table(titles, rows)}'


def _format_memory(costs: Sequence[RoleCost]) -> str:
    rows = [
        [
            cost.title,
            _format_slope(cost.memory, _KILO),
            f'{cost.memory.base:.1f}',
            f'{_find_added_cost(cost, cost.memory):.1f}',
            _format_slope(cost.control_bytes),
            f'{_find_added_cost(cost, cost.control_bytes) / _KILO:.1f}',
        ]
        for cost in costs
    ]
    titles = [
        'role',
        'kB a unit (repeats)',
        'at zero MB',
        'added at target MB',
        'bytes/s a unit (repeats)',
        'added at target kB/s',
    ]
    return f'Memory and control bytes.\n\n{_format_table(titles, rows)}'


def _format_budget(costs: Sequence[RoleCost]) -> str:
    control = [cost for cost in costs if cost.is_control]
    # The base of this role is the cost of a single node with the fewest
    # targets.
    membership = _find(control, 'membership')
    cpu = membership.cpu.base + sum(
        _find_added_cost(cost, cost.cpu) for cost in control
    )
    memory = sum(_find_added_cost(cost, cost.memory) for cost in control)
    control_bytes = membership.control_bytes.base + sum(
        _find_added_cost(cost, cost.control_bytes) for cost in control
    )
    rows = [
        _format_verdict(
            'processor time ms/s', cpu, _CPU_BUDGET_MILLISECONDS_PER_SECOND
        ),
        _format_verdict('memory added MB', memory, _MEMORY_BUDGET_MEGABYTES),
        _format_verdict('bytes/s', control_bytes, _BYTES_BUDGET_PER_SECOND),
    ]
    titles = ['control of one node', 'at target', 'budget', 'verdict']
    return f'Budget of control.\n\n{_format_table(titles, rows)}'


def _format_ledger(costs: Sequence[RoleCost]) -> str:
    fleet = _find(costs, 'fleet')
    rows = [
        [
            'every node, idle',
            f'{fleet.reads.extrapolate(fleet.scale.target):.0f}',
            f'{fleet.writes.extrapolate(fleet.scale.target):.0f}',
        ],
    ]
    for cost in costs:
        if cost is fleet:
            continue
        reads = _find_added_cost(cost, cost.reads) * _TARGET_NODES
        writes = _find_added_cost(cost, cost.writes) * _TARGET_NODES
        rows.append([cost.title, f'{reads:.0f}', f'{writes:.0f}'])
    rows.append(['budget', str(_READS_BUDGET_PER_SECOND), 'several hundred'])
    titles = [f'spent by {_TARGET_NODES} nodes', 'reads/s', 'writes/s']
    return f'Ledger of the table service.\n\n{_format_table(titles, rows)}'


def _find(costs: Sequence[RoleCost], title: str) -> RoleCost:
    return next(cost for cost in costs if cost.title == title)


def _find_added_cost(cost: RoleCost, line: LinearFit) -> float:
    """
    Return the cost that a role adds at the target.

    Notes
    -----
    A slope below zero is measurement noise and counts as zero.

    """
    return max(float(0), line.slope * cost.scale.target)


def _format_verdict(title: str, figure: float, budget: float) -> list[str]:
    verdict = 'met'
    if figure > budget:
        verdict = f'missed: {figure / budget:.1f} times the budget'
    return [title, f'{figure:.1f}', f'{budget:g}', verdict]


def _format_slope(line: LinearFit, factor: float = 1) -> str:
    slope, min_slope, max_slope = (
        number * factor
        for number in (line.slope, line.min_slope, line.max_slope)
    )
    return f'{slope:.3g} ({min_slope:.3g} to {max_slope:.3g})'


def _format_table(titles: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    rule = ['---' for _ in titles]
    lines = (titles, rule, *rows)
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)
