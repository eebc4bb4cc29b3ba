"""Wait for stragglers, the simple baseline."""

from ladder_policy.stragglers.base import (
    RunningSample,
    StepProgress,
    StragglerPolicy,
)


class WaitPolicy(StragglerPolicy):
    """
    Hedge no sample.

    Examples
    --------
    >>> late = RunningSample(0, 0, seconds=100)
    >>> WaitPolicy().choose(StepProgress(0, 8, 1, 9, (late,)))
    ()

    """

    def choose(self, progress: StepProgress) -> tuple[RunningSample, ...]:
        """Return no sample."""
        return ()

    def adjust_priority(self, missing: int, size: int) -> int:
        """Give all samples the same priority."""
        return 0
