"""Draw schedules of faults from a seed."""

from dataclasses import dataclass
from enum import StrEnum

import numpy as np

_FIRST_SECONDS = 1
_LONGEST_SECONDS = 4


class FaultKind(StrEnum):
    """What may go wrong in a run."""

    kill_node = 'kill-node'
    freeze_node = 'freeze-node'
    stop_node = 'stop-node'
    kill_engine = 'kill-engine'
    freeze_engine = 'freeze-engine'
    kill_service = 'kill-service'
    store_down = 'store-down'
    store_slow = 'store-slow'
    store_silent = 'store-silent'
    store_answers_lost = 'store-answers-lost'
    swap_fails = 'swap-fails'
    engine_leaves = 'engine-leaves'
    edit_lists = 'edit-lists'
    race_edits = 'race-edits'
    silence_connections = 'silence-connections'
    cut_connections = 'cut-connections'


ALL_KINDS = tuple(FaultKind)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """
    One fault of a schedule.

    Attributes
    ----------
    kind : FaultKind
        What goes wrong.
    at : float
        Seconds after the begin of the load.
    seconds : float
        How long it lasts.
    choice : int
        Chooses the process among those of its kind.

    """

    kind: FaultKind
    at: float
    seconds: float
    choice: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """
    The faults of one run.

    Attributes
    ----------
    seed : int
        Seed that it was drawn from.
    seconds : float
        Length of the load.
    faults : tuple of PlannedFault
        The faults in order of their begin.

    """

    seed: int
    seconds: float
    faults: tuple[PlannedFault, ...]


def draw_schedule(
    seed: int,
    seconds: float,
    count: int,
    kinds: tuple[FaultKind, ...] = ALL_KINDS,
) -> Schedule:
    """
    Draw a schedule; the same arguments give the same schedule.

    Parameters
    ----------
    seed : int
        Seed.
    seconds : float
        Length of the load.
    count : int
        Number of faults, which may overlap.
    kinds : tuple of FaultKind, optional
        Kinds to draw from.

    Returns
    -------
    Schedule
        The schedule.

    Examples
    --------
    >>> draw_schedule(1, 9, 2) == draw_schedule(1, 9, 2)
    True

    """
    generator = np.random.default_rng(seed)
    latest = max(seconds / 2, _FIRST_SECONDS)
    faults = [
        PlannedFault(
            kinds[generator.integers(len(kinds))],
            float(generator.uniform(_FIRST_SECONDS, latest)),
            float(generator.uniform(1, _LONGEST_SECONDS)),
            int(generator.integers(100)),
        )
        for _ in range(count)
    ]
    faults.sort(key=lambda fault: fault.at)
    return Schedule(seed, seconds, tuple(faults))
