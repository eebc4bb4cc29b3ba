"""Lower bound of the idle time of trainers, from the engines' token rate."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Capacity:
    """
    Token rates of the engines of a deployment.

    Attributes
    ----------
    tokens_per_second : float
        Rate of all engines together when their batches are full.
    stream_tokens_per_second : float
        Highest rate of a single stream.

    """

    tokens_per_second: float
    stream_tokens_per_second: float


@dataclass(frozen=True, slots=True)
class TrainerWorkload:
    """
    Steps that a trainer requested.

    Attributes
    ----------
    steps : tuple of tuple of int
        Lengths in tokens of the samples of each step.
    train_seconds : float
        Time for which the trainer trains on each step.
    opens_ahead : bool
        Whether the samples of a step are generated while the trainer trains
        on the previous step.

    """

    steps: tuple[tuple[int, ...], ...]
    train_seconds: float
    opens_ahead: bool


def find_unavoidable_share(
    workloads: Sequence[TrainerWorkload],
    capacity: Capacity,
) -> float:
    """
    Return the lowest idle share that any schedule can reach.

    Parameters
    ----------
    workloads : sequence of TrainerWorkload
        One for each of the trainers, which share the engines.
    capacity : Capacity
        Token rates of the engines, whose batches are assumed to be full
        whenever that shortens the steps.

    Returns
    -------
    float
        Idle time divided by wall time, both summed over all trainers.

    Notes
    -----
    The generation of a step takes at least its number of tokens divided by
    the rate of all engines, and at least the length of its longest sample
    divided by the rate of a single stream. The sum of the completion times
    of trainers that share the engines is lowest if they are served one
    after another with the least work first (Smith, 1956, Naval Research
    Logistics Quarterly 3).

    Examples
    --------
    >>> workload = TrainerWorkload(
    ...     ((100, 100),), train_seconds=2, opens_ahead=False
    ... )
    >>> find_unavoidable_share([workload], Capacity(100, 50))
    0.5

    """
    generation_seconds: float = 0
    idle_seconds: float = 0
    wall_seconds: float = 0
    for workload in sorted(workloads, key=_count_tokens):
        generation_seconds += (
            _count_tokens(workload) / capacity.tokens_per_second
        )
        train_seconds = workload.train_seconds * len(workload.steps)
        seconds_alone = train_seconds + _find_min_idle_seconds(
            workload, capacity
        )
        min_seconds = max(seconds_alone, generation_seconds)
        wall_seconds += min_seconds
        idle_seconds += min_seconds - train_seconds
    return idle_seconds / wall_seconds if wall_seconds else float(0)


def _find_min_idle_seconds(
    workload: TrainerWorkload, capacity: Capacity
) -> float:
    idle_seconds: float = 0
    for number, lengths in enumerate(workload.steps):
        wait_seconds = max(
            sum(lengths) / capacity.tokens_per_second,
            max(lengths, default=0) / capacity.stream_tokens_per_second,
        )
        if workload.opens_ahead and number:
            wait_seconds -= workload.train_seconds
        idle_seconds += max(float(0), wait_seconds)
    return idle_seconds


def _count_tokens(workload: TrainerWorkload) -> int:
    return sum(sum(lengths) for lengths in workload.steps)
