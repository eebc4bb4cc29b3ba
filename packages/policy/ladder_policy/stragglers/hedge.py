"""
Run stragglers a second time on idle engines.

References
----------
Dean and Barroso, "The Tail at Scale", Communications of the ACM, 2013.

"""

from ladder_policy.stragglers.base import (
    RunningSample,
    StepProgress,
    StragglerPolicy,
)

_LATE_RATIO = 2
_LAST_SHARE = 0.25


class HedgePolicy(StragglerPolicy):
    """
    Hedge late samples once nothing waits, the last members of groups first.

    Notes
    -----
    A hedge only takes places that are idle, so it never delays a first run.

    Examples
    --------
    >>> late = RunningSample(0, 0, seconds=9)
    >>> fresh = RunningSample(1, 0, seconds=1)
    >>> progress = StepProgress(0, 8, 2, (late, fresh))
    >>> [sample.group for sample in HedgePolicy().choose(progress)]
    [0]

    """

    def choose(self, progress: StepProgress) -> tuple[RunningSample, ...]:
        """Choose the longest running samples, one for each idle place."""
        if progress.waiting or progress.typical_seconds <= 0:
            return ()
        limit = _LATE_RATIO * progress.typical_seconds
        late = [
            sample
            for sample in progress.running
            if sample.runs == 1 and sample.seconds > limit
        ]
        late.sort(key=_read_seconds, reverse=True)
        return tuple(late[: max(progress.idle_places, 0)])

    def adjust_priority(self, missing: int, size: int) -> int:
        """Prefer the last members of a group."""
        return -1 if missing <= size * _LAST_SHARE else 0


def _read_seconds(sample: RunningSample) -> float:
    return sample.seconds
