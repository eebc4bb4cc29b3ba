"""Choose the target of a caller's request to a plain service."""

from collections.abc import Iterable
from dataclasses import dataclass

# A target that takes this many times as long as the quickest one is used
# only when the others are full.
_SLOW_RATIO = 2.5
# Durations below this differ by chance.
_MIN_COMPARED_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class ForwardCandidate:
    """
    A target that may take a request.

    Attributes
    ----------
    name : str
        Name of the target.
    in_flight : int
        Requests of this node that it has.
    slots : int
        Requests that it processes together.
    distance : int
        Zero in this node's data centre, one in its region, two beyond.
    idle_connections : int
        Connections to it that are kept and free.
    seconds : float or None
        Running mean of the duration of its answers.
    is_healthy : bool
        Whether its last request succeeded.

    """

    name: str
    in_flight: int = 0
    slots: int = 1
    distance: int = 0
    idle_connections: int = 0
    mean_seconds: float | None = None
    is_healthy: bool = True


def choose_forward_target(
    candidates: Iterable[ForwardCandidate],
) -> ForwardCandidate | None:
    """
    Choose a target, or None if there is none.

    Explanation
    -----------
    Requests stay with one target while it is sound and has free slots, so
    that few connections are needed and those stay warm. Then a sound target
    goes before one that failed, a quick one before a slow one, a free one
    before a full one, and a near one before a far one.

    Parameters
    ----------
    candidates : iterable of ForwardCandidate
        The targets that may be used.

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
    known = [one.mean_seconds for one in found if one.mean_seconds is not None]
    fastest_seconds = max(
        min(known, default=_MIN_COMPARED_SECONDS), _MIN_COMPARED_SECONDS
    )

    def rank(one: ForwardCandidate) -> tuple[object, ...]:
        is_slow = (one.mean_seconds or 0) > _SLOW_RATIO * fastest_seconds
        # Half of the slots are left to other nodes.
        load_rounds = 2 * one.in_flight // max(one.slots, 1)
        return (
            (not one.is_healthy, load_rounds + 2 * is_slow),
            one.distance,
            not one.idle_connections,
            one.in_flight,
            one.name,
        )

    return min(found, key=rank, default=None)
