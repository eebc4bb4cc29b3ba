"""Random schedules of faults."""

from dataclasses import dataclass
from enum import StrEnum

import numpy as np

_MIN_START_SECONDS = 1
_MAX_DURATION_SECONDS = 4


class FaultKind(StrEnum):
    """Kinds of faults that a run can inject."""

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
    hang_paths = 'hang-paths'
    reset_paths = 'reset-paths'
    refuse_paths = 'refuse-paths'


ALL_KINDS = tuple(FaultKind)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """
    A fault with its start time, its duration and the process that it hits.

    Attributes
    ----------
    kind : FaultKind
        Fault to inject.
    start_seconds : float
        Seconds from the start of the load to the start of the fault.
    duration_seconds : float
        Seconds after which the fault is ended, for kinds that have an end.
    choice : int
        Index of the process to hit among those of its kind, or of the
        engine whose connections to cut; taken modulo their number.

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
        Seed of the random numbers that gave the faults.
    load_seconds : float
        Seconds for which callers and trainers send requests.
    faults : tuple of PlannedFault
        Faults in the order of their start times.

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
    Return a random schedule; equal arguments give equal schedules.

    Parameters
    ----------
    seed : int
        Seed of the random numbers.
    load_seconds : float
        Seconds for which callers and trainers send requests. Faults start
        after the first second and in the first half of this time.
    count : int
        Number of faults, which may overlap.
    kinds : tuple of FaultKind, optional
        Kinds of faults to choose from; all of them by default.

    Returns
    -------
    FaultSchedule
        Faults in the order of their start times.

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
