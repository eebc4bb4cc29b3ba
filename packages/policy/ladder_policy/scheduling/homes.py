"""
Assignment of engines to models.

The homes of a model are the engines that are kept at its newest version.
"""

import math
from collections.abc import Mapping, Sequence

# Average number of models that an engine is a home of. A higher value lets one
# model use slots that another leaves free; a lower one saves loads of weights.
_MODELS_PER_ENGINE = 1.5
# With a single home, a model would be left without one when the engine fails.
_MIN_HOMES = 2


def assign_homes(
    engines: Sequence[str],
    demands: Mapping[str, float],
    current_homes: Mapping[str, Sequence[str]],
    models_per_engine: float = _MODELS_PER_ENGINE,
) -> dict[str, list[str]]:
    """
    Share engines among models by demand, and change few assignments.

    Parameters
    ----------
    engines : sequence of str
        Engines that can be used, the fastest ones first.
    demands : mapping of str to float
        Demand for tokens of each model; only the ratios count.
    current_homes : mapping of str to sequence of str
        Homes of each model by the previous assignment, which are kept as far
        as they can be used.
    models_per_engine : float, optional
        Average number of models that one engine is a home of.

    Returns
    -------
    dict of str to list of str
        Homes of each model, at least one if there is an engine.

    Examples
    --------
    >>> assign_homes(['a', 'b'], {'m': 1}, {})
    {'m': ['a', 'b']}
    >>> demands = {'m': 2, 'n': 1}
    >>> homes = assign_homes('abcdef', demands, {}, models_per_engine=1)
    >>> [len(homes[model]) for model in 'mn']
    [4, 2]
    >>> assign_homes('abcdeg', demands, homes, models_per_engine=1)['n']
    ['e', 'g']

    """
    total = sum(demands.values()) or 1
    homes: dict[str, list[str]] = {}
    model_counts = dict.fromkeys(engines, 0)
    ranked = sorted(demands, key=lambda name: (-demands[name], name))
    for model in ranked:
        share = demands[model] / total
        home_count = math.ceil(len(engines) * share * models_per_engine - 0.5)
        home_count = min(max(home_count, _MIN_HOMES), len(engines))
        homes[model] = _choose(
            model_counts, current_homes.get(model, ()), home_count
        )
        for name in homes[model]:
            model_counts[name] += 1
    return homes


def _choose(
    model_counts: Mapping[str, int],
    current_homes: Sequence[str],
    count: int,
) -> list[str]:
    """Keep current homes, and add the engines with the fewest models."""
    chosen = [name for name in current_homes if name in model_counts][:count]
    # The sort is stable, so faster engines come first among equals.
    others = sorted(
        (name for name in model_counts if name not in chosen),
        key=model_counts.__getitem__,
    )
    return chosen + others[: count - len(chosen)]
