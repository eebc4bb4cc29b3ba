"""Errors raised after the first byte of a request has left for a target."""

from ladder_core.errors.base import Execution, LadderError


class MayHaveRunError(LadderError):
    """The request reached a target and its outcome is unknown."""

    kind = 'may-have-run'
    status = 502
    execution = Execution.may_have_run


class TargetLostError(MayHaveRunError):
    """The connection to the target broke during the request."""

    kind = 'target-lost'


class TargetTimeoutError(MayHaveRunError):
    """The target fell silent during the request."""

    kind = 'target-timeout'
    status = 504


class TargetRefusedError(MayHaveRunError):
    """
    The target answered that it does not take the request.

    Notes
    -----
    The word of a target, or of something before it, is no proof that the
    request was not executed.

    """

    kind = 'target-refused'
    status = 503


class AnswerCorruptError(MayHaveRunError):
    """Parts of the target's answer are missing."""

    kind = 'answer-corrupt'


class InProgressError(MayHaveRunError):
    """A call with the same idempotency key is not yet decided."""

    kind = 'in-progress'
    status = 409


class AnswerNotKeptError(LadderError):
    """The call ran and its answer is no longer available."""

    kind = 'answer-not-kept'
    status = 410
    execution = Execution.ran


class DeadlineError(MayHaveRunError):
    """The caller's time limit passed during the request."""

    kind = 'deadline'
    status = 504


class PoisonousRequestError(LadderError):
    """The request ran and crashed each target that executed it."""

    kind = 'poisonous-request'
    status = 422
    execution = Execution.ran


class RunFailedError(LadderError):
    """The target ran the request and answered that it failed."""

    kind = 'run-failed'
    status = 500
    execution = Execution.ran


class TaskRejectedError(LadderError):
    """The target answered that a task can never be done."""

    kind = 'task-rejected'
    status = 422
    execution = Execution.ran
