"""Errors raised after a request, or part of it, was sent to a target."""

from ladder_core.errors.base import Execution, LadderError


class MayHaveRunError(LadderError):
    """The request was sent to a target and its outcome is unknown."""

    kind = 'may-have-run'
    status = 502
    execution = Execution.may_have_run


class TargetLostError(MayHaveRunError):
    """The connection to the target broke during the request."""

    kind = 'target-lost'


class TargetTimeoutError(MayHaveRunError):
    """The target sent nothing within the time-out of the request."""

    kind = 'target-timeout'
    status = 504


class TargetRefusedError(MayHaveRunError):
    """
    The target answered that it does not accept the request.

    Notes
    -----
    The response of a target, or of a proxy in front of it, does not prove that
    the request was not executed.

    """

    kind = 'target-refused'
    status = 503


class AnswerCorruptError(MayHaveRunError):
    """The response of the target is incomplete or inconsistent."""

    kind = 'answer-corrupt'


class AnswerEndlessError(AnswerCorruptError):
    """The response of the target is larger than any response may be."""

    kind = 'answer-endless'


class InProgressError(MayHaveRunError):
    """The outcome of a call with the same idempotency key is not yet known."""

    kind = 'in-progress'
    status = 409


class AnswerNotKeptError(LadderError):
    """The call was executed, but its response is no longer available."""

    kind = 'answer-not-kept'
    status = 410
    execution = Execution.ran


class DeadlineError(MayHaveRunError):
    """The deadline of the caller passed before the request ended."""

    kind = 'deadline'
    status = 504


class PoisonousRequestError(LadderError):
    """The request was executed and crashed each target that executed it."""

    kind = 'poisonous-request'
    status = 422
    execution = Execution.ran


class RunFailedError(LadderError):
    """The target executed the request and answered that it failed."""

    kind = 'run-failed'
    status = 500
    execution = Execution.ran


class TaskRejectedError(LadderError):
    """The target answered that the task can never succeed."""

    kind = 'task-rejected'
    status = 422
    execution = Execution.ran
