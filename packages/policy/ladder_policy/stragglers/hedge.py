"""
Hedge stragglers by a second run on an idle engine.

References
----------
Dean and Barroso, "The Tail at Scale", Communications of the ACM, 2013.

"""

from ladder_policy.stragglers.base import (
    RunningSample,
    StepProgress,
    StragglerPolicy,
)

_STRAGGLER_RATIO = 2
_LAST_SAMPLES_SHARE = 0.25


class HedgePolicy(StragglerPolicy):
    """
    Hedge samples that are late and slow, once no sample waits.

    Notes
    -----
    A sample that is merely long gains nothing from a second run on an engine
    of the same speed, and the second run slows other samples on that engine.
    A sample is therefore hedged only if its tokens per second are less than
    half the median of the finished samples.

    Examples
    --------
    >>> slow = RunningSample(0, 0, seconds=9, tokens=9)
    >>> long = RunningSample(1, 0, seconds=9, tokens=90)
    >>> progress = StepProgress(0, 8, 2, 10, (slow, long))
    >>> [sample.group for sample in HedgePolicy().choose(progress)]
    [0]

    """

    def choose(self, progress: StepProgress) -> tuple[RunningSample, ...]:
        """Return the stragglers that run longest, one per idle slot."""
        if progress.waiting or progress.median_seconds <= 0:
            return ()
        stragglers = [
            sample
            for sample in progress.running
            if sample.runs == 1 and _is_straggler(sample, progress)
        ]
        stragglers.sort(key=_read_seconds, reverse=True)
        return tuple(stragglers[: max(progress.idle_slots, 0)])

    def adjust_priority(self, missing: int, size: int) -> int:
        """Prefer the last missing samples of a group."""
        return -1 if missing <= size * _LAST_SAMPLES_SHARE else 0


def _is_straggler(sample: RunningSample, progress: StepProgress) -> bool:
    if sample.seconds <= _STRAGGLER_RATIO * progress.median_seconds:
        return False
    return sample.rate * _STRAGGLER_RATIO < progress.median_rate


def _read_seconds(sample: RunningSample) -> float:
    return sample.seconds
