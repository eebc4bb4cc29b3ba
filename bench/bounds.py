"""The idle time that the engines' token rate makes unavoidable."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Capacity:
    """
    How fast the engines of a deployment generate.

    Attributes
    ----------
    tokens_per_second : float
        All engines together with full batches.
    stream_tokens_per_second : float
        The fastest single stream.

    """

    tokens_per_second: float
    stream_tokens_per_second: float


@dataclass(frozen=True, slots=True)
class TrainerWorkload:
    """
    What a trainer asked for.

    Attributes
    ----------
    steps : tuple of tuple of int
        Lengths of the samples of each step.
    train_seconds : float
        Training on each step.
    opens_ahead : bool
        Whether generation runs during the training on the step before.

    """

    steps: tuple[tuple[int, ...], ...]
    train_seconds: float
    opens_ahead: bool


def find_unavoidable_share(
    workloads: Sequence[TrainerWorkload],
    capacity: Capacity,
) -> float:
    """
    Return the idle share below which no schedule gets.

    Parameters
    ----------
    needs : sequence of TrainerNeed
        The trainers, who share the engines.
    capacity : Capacity
        The engines, all full whenever that helps.

    Returns
    -------
    float
        Idle time over wall time, of all trainers together.

    Notes
    -----
    A step takes at least its tokens over the whole rate, and at least its
    longest sample at the rate of a single stream. Trainers that share the
    engines end, summed up, no sooner than one after another with the least
    work first (Smith, 1956, Naval Research Logistics Quarterly 3).

    Examples
    --------
    >>> workload = TrainerWorkload(
    ...     ((100, 100),), train_seconds=2, opens_ahead=False
    ... )
    >>> find_unavoidable_share([workload], Capacity(100, 50))
    0.5

    """
    work: float = 0
    idle: float = 0
    wall: float = 0
    for workload in sorted(workloads, key=_count_tokens):
        work += _count_tokens(workload) / capacity.tokens_per_second
        train = workload.train_seconds * len(workload.steps)
        alone = train + _find_min_idle_seconds(workload, capacity)
        min_seconds = max(alone, work)
        wall += min_seconds
        idle += min_seconds - train
    return idle / wall if wall else float(0)


def _find_min_idle_seconds(
    workload: TrainerWorkload, capacity: Capacity
) -> float:
    idle: float = 0
    for number, lengths in enumerate(workload.steps):
        min_seconds = max(
            sum(lengths) / capacity.tokens_per_second,
            max(lengths, default=0) / capacity.stream_tokens_per_second,
        )
        if workload.opens_ahead and number:
            min_seconds -= workload.train_seconds
        idle += max(float(0), min_seconds)
    return idle


def _count_tokens(workload: TrainerWorkload) -> int:
    return sum(sum(lengths) for lengths in workload.steps)
