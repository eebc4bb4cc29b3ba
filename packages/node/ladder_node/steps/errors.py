"""Errors of steps."""

from ladder_core.errors import ConflictError, Execution, LadderError


class StepClosedError(ConflictError):
    """The step is closed; its number is not used again."""

    kind = 'step-closed'


class StepContentsError(ConflictError):
    """The step is open with other contents."""

    kind = 'step-contents'


class PullSupersededError(ConflictError):
    """A later pull of the same step took the place of this one."""

    kind = 'pull-superseded'


class UnusableSampleError(LadderError):
    """A generation can't become a sample; it is run again."""

    kind = 'unusable-sample'
    execution = Execution.ran


class StaleSampleError(UnusableSampleError):
    """A generation contains tokens that are older than the plan allows."""

    kind = 'stale-sample'
