"""Choose the target of a caller's request to a service."""

from collections.abc import Iterable
from dataclasses import dataclass

# A target whose mean duration is more than this many times that of the fastest
# one is used only when the others are full.
_SLOW_RATIO = 2.5
# Durations below this differ by chance and count as equally fast.
_MIN_COMPARED_SECONDS = 0.05


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

    """

    name: str
    in_flight: int = 0
    slots: int = 1
    distance: int = 0
    idle_connections: int = 0
    mean_seconds: float | None = None
    is_limited: bool = False
    is_healthy: bool = True


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
    known = [
        candidate.mean_seconds
        for candidate in found
        if candidate.mean_seconds is not None
    ]
    fastest_seconds = max(
        min(known, default=_MIN_COMPARED_SECONDS), _MIN_COMPARED_SECONDS
    )

    def rank(candidate: ForwardCandidate) -> tuple[object, ...]:
        is_slow = (candidate.mean_seconds or 0) > _SLOW_RATIO * fastest_seconds
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
