"""Choose the target of a caller's request to a service."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ladder_policy.capacity import TimeEstimate

# A target whose mean duration is more than this many times that of the fastest
# one is used only when the others are full.
_SLOW_RATIO = 2.5
# Durations below this differ by chance and count as equally fast.
_MIN_COMPARED_SECONDS = 0.05
# The same for learned durations: the ratio to a target that is as near, the
# standard errors by which they must differ, and the time that is worth it.
_LEARNED_SLOW_RATIO = 1.3
_SIGNIFICANT_ERRORS = 2
_MIN_SAVED_SECONDS = 0.015
# Durations from fewer samples are not compared more closely than fixed ones.
_MIN_SAMPLES = 10


@dataclass(frozen=True, slots=True)
class ForwardCandidate:
    """
    A target that a request may be sent to.

    Attributes
    ----------
    name : str
        Name of the target.
    in_flight : int
        Requests of this node in flight at the target.
    slots : int
        Number of requests that the target processes at once.
    distance : int
        0 in this node's data centre, 1 in its region, 2 in other regions.
    idle_connections : int
        Open connections to the target that carry no request.
    mean_seconds : float or None
        Running mean of the duration of its responses; None before the first.
    is_limited : bool
        Whether it limits the rate of requests from all nodes.
    is_healthy : bool
        Whether its last request was answered and few of its requests fail.
    learned : TimeEstimate or None
        Learned duration of its responses, which replaces the mean; None if
        durations are not learned, or before the first.

    """

    name: str
    in_flight: int = 0
    slots: int = 1
    distance: int = 0
    idle_connections: int = 0
    mean_seconds: float | None = None
    is_limited: bool = False
    is_healthy: bool = True
    learned: TimeEstimate | None = None


def choose_forward_target(
    candidates: Iterable[ForwardCandidate],
) -> ForwardCandidate | None:
    """
    Return the target to use, or None if there are no candidates.

    Explanation
    -----------
    Requests stay with one target while it is healthy and has free slots, so
    that few connections are needed and these stay warm. Otherwise a healthy
    target is preferred to one that failed, a fast one to a slow one, a free
    one to a full one, and a near one to a distant one. A target that limits
    its requests is used when the others are half full.

    Parameters
    ----------
    candidates : iterable of ForwardCandidate
        The targets that accept requests now.

    Examples
    --------
    >>> near = ForwardCandidate('near', slots=6)
    >>> far = ForwardCandidate('far', slots=6, distance=2)
    >>> choose_forward_target([far, near]).name
    'near'
    >>> full = ForwardCandidate('near', slots=6, in_flight=6)
    >>> choose_forward_target([far, full]).name
    'far'

    """
    found = list(candidates)
    is_learned = any(candidate.learned for candidate in found)
    slow = _list_learned_slow(found) if is_learned else _list_slow(found)

    def rank(candidate: ForwardCandidate) -> tuple[object, ...]:
        is_slow = candidate.name in slow
        # A target counts as full when this node uses half of its slots; the
        # other half is left to other nodes.
        used_halves = 2 * candidate.in_flight // max(candidate.slots, 1)
        return (
            (
                not candidate.is_healthy,
                used_halves + 2 * is_slow + candidate.is_limited,
            ),
            candidate.distance,
            not candidate.idle_connections,
            candidate.in_flight,
            candidate.name,
        )

    return min(found, key=rank, default=None)


def _list_slow(candidates: Iterable[ForwardCandidate]) -> set[str]:
    """Return the names of the targets whose mean is far above the shortest."""
    known = {
        candidate.name: candidate.mean_seconds
        for candidate in candidates
        if candidate.mean_seconds is not None
    }
    fastest_seconds = max(
        min(known.values(), default=_MIN_COMPARED_SECONDS),
        _MIN_COMPARED_SECONDS,
    )
    return {
        name
        for name, seconds in known.items()
        if seconds > _SLOW_RATIO * fastest_seconds
    }


def _list_learned_slow(candidates: Sequence[ForwardCandidate]) -> set[str]:
    """
    Return the names of the targets that are slower than another one.

    A target further away has to be faster by the fixed ratio, since the bytes
    that it is sent cost more.
    """
    slow: set[str] = set()
    known = sorted(
        (candidate.learned.seconds, candidate.distance, candidate.name)
        for candidate in candidates
        if candidate.learned
    )
    estimates = {
        candidate.name: candidate.learned
        for candidate in candidates
        if candidate.learned
    }
    reference: tuple[int, TimeEstimate] | None = None
    for _, distance, name in known:
        if reference and _is_slower(
            estimates[name], reference[1], distance < reference[0]
        ):
            slow.add(name)
        elif reference is None or distance < reference[0]:
            # Targets as near as this one are compared with it.
            reference = (distance, estimates[name])
    return slow


def _is_slower(
    estimate: TimeEstimate, other: TimeEstimate, is_nearer: bool
) -> bool:
    saved_seconds = estimate.seconds - other.seconds
    samples = min(estimate.samples, other.samples)
    if is_nearer or samples < _MIN_SAMPLES:
        fastest_seconds = max(other.seconds, _MIN_COMPARED_SECONDS)
        return estimate.seconds > _SLOW_RATIO * fastest_seconds
    error = math.hypot(estimate.standard_error, other.standard_error)
    ratio = _LEARNED_SLOW_RATIO * math.exp(_SIGNIFICANT_ERRORS * error)
    return (
        estimate.seconds > ratio * other.seconds
        and saved_seconds > _MIN_SAVED_SECONDS
    )
