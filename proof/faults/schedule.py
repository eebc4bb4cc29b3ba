"""Draw schedules of faults from a seed."""

from dataclasses import dataclass
from enum import StrEnum

import numpy as np

_MIN_START_SECONDS = 1
_MAX_DURATION_SECONDS = 4


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
    start_seconds : float
        Seconds after the begin of the load.
    duration_seconds : float
        How long it lasts.
    choice : int
        Chooses the process among those of its kind.

    """

    kind: FaultKind
    start_seconds: float
    duration_seconds: float
    choice: int


@dataclass(frozen=True, slots=True)
class FaultSchedule:
    """
    The faults of one run.

    Attributes
    ----------
    seed : int
        Seed that it was drawn from.
    load_seconds : float
        Length of the load.
    faults : tuple of PlannedFault
        The faults in order of their begin.

    """

    seed: int
    load_seconds: float
    faults: tuple[PlannedFault, ...]


def draw_schedule(
    seed: int,
    load_seconds: float,
    count: int,
    kinds: tuple[FaultKind, ...] = ALL_KINDS,
) -> FaultSchedule:
    """
    Draw a schedule; the same arguments give the same schedule.

    Parameters
    ----------
    seed : int
        Seed.
    load_seconds : float
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
    rng = np.random.default_rng(seed)
    latest = max(load_seconds / 2, _MIN_START_SECONDS)
    faults = [
        PlannedFault(
            kinds[rng.integers(len(kinds))],
            float(rng.uniform(_MIN_START_SECONDS, latest)),
            float(rng.uniform(1, _MAX_DURATION_SECONDS)),
            int(rng.integers(100)),
        )
        for _ in range(count)
    ]
    faults.sort(key=lambda fault: fault.start_seconds)
    return FaultSchedule(seed, load_seconds, tuple(faults))
