"""Errors that opening, running and pulling steps raise."""

from ladder_core.errors import ConflictError, Execution, LadderError


class StepClosedError(ConflictError):
    """The step is closed; its number is not used again."""

    kind = 'step-closed'


class StepContentsError(ConflictError):
    """The step is already open with other contents."""

    kind = 'step-contents'


class PullSupersededError(ConflictError):
    """A later pull of the same step replaced this one."""

    kind = 'pull-superseded'


class UnusableSampleError(LadderError):
    """A generation gave no usable sample; it is run again."""

    kind = 'unusable-sample'
    execution = Execution.ran


class StaleSampleError(UnusableSampleError):
    """A generation has tokens of an older version than the plan allows."""

    kind = 'stale-sample'


class StepElsewhereError(LadderError):
    """
    Another node holds the trainer's lease and runs its steps.

    Parameters
    ----------
    name : str
        Trainer and number of the step, joined by a slash.
    address : str
        ``ip:port`` at which that node serves callers.

    """

    kind = 'step-elsewhere'
    status = 307
    execution = Execution.not_run

    def __init__(self, name: str, address: str) -> None:
        super().__init__(
            f'step {name} runs at {address}',
            remedy='send the request there, with the secret again',
        )
        self.address = address
