"""Which engines are kept at the newest version of which models."""

import math
from collections.abc import Mapping, Sequence

# Sum of all homes over the number of engines: more lets one model use the
# slots that another leaves free, less saves loads.
_MODELS_PER_ENGINE = 1.5
# A single home would be lost with its engine.
_MIN_HOMES = 2


def assign_homes(
    engines: Sequence[str],
    demands: Mapping[str, float],
    current_homes: Mapping[str, Sequence[str]],
    models_per_engine: float = _MODELS_PER_ENGINE,
) -> dict[str, list[str]]:
    """
    Share engines among models by demand, and move as few as possible.

    Parameters
    ----------
    engines : sequence of str
        Engines that can be used, the best ones first.
    demands : mapping of str to float
        Tokens that are asked for of each model, in any unit.
    present : mapping of str to sequence of str
        The homes up to now.
    overlap : float, optional
        Average number of models at home on one engine.

    Returns
    -------
    dict of str to list of str
        Homes of each model, at least one if there is an engine.

    Examples
    --------
    >>> assign_homes(['a', 'b'], {'m': 1}, {})
    {'m': ['a', 'b']}
    >>> homes = assign_homes('abcdef', {'m': 2, 'n': 1}, {}, models_per_engine=1)
    >>> [len(homes[model]) for model in 'mn']
    [4, 2]
    >>> assign_homes('abcdeg', {'m': 2, 'n': 1}, homes, models_per_engine=1)['n']
    ['e', 'g']

    """
    total = sum(demands.values()) or 1
    homes: dict[str, list[str]] = {}
    model_counts = dict.fromkeys(engines, 0)
    ranked = sorted(demands, key=lambda name: (-demands[name], name))
    for model in ranked:
        share = demands[model] / total
        wanted = math.ceil(len(engines) * share * models_per_engine - 0.5)
        wanted = min(max(wanted, _MIN_HOMES), len(engines))
        homes[model] = _choose(
            model_counts, current_homes.get(model, ()), wanted
        )
        for name in homes[model]:
            model_counts[name] += 1
    return homes


def _choose(
    model_counts: Mapping[str, int],
    current_homes: Sequence[str],
    wanted: int,
) -> list[str]:
    """Keep present homes, and add the engines with the fewest guests."""
    chosen = [name for name in current_homes if name in model_counts][:wanted]
    # The sort is stable, so the best engines come first among equals.
    others = sorted(
        (name for name in model_counts if name not in chosen),
        key=model_counts.__getitem__,
    )
    return chosen + others[: wanted - len(chosen)]
