"""Wait: the plain way."""

from ladder_policy.stragglers.base import (
    RunningSample,
    StepProgress,
    StragglerPolicy,
)


class WaitPolicy(StragglerPolicy):
    """
    Leave every sample where it runs.

    Examples
    --------
    >>> late = RunningSample(0, 0, seconds=100)
    >>> WaitPolicy().choose(StepProgress(0, 8, 1, 9, (late,)))
    ()

    """

    def choose(self, progress: StepProgress) -> tuple[RunningSample, ...]:
        """Choose nothing."""
        return ()

    def adjust_priority(self, missing: int, size: int) -> int:
        """Treat all samples alike."""
        return 0
