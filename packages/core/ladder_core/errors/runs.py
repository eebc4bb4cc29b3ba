"""Errors raised after the first byte of a request has left for a target."""

from ladder_core.errors.tree import Execution, LadderError


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


class InProgressError(MayHaveRunError):
    """A call with the same idempotency key is not yet decided."""

    kind = 'in-progress'
    status = 409


class AnswerNotKeptError(LadderError):
    """The call ran and its answer is no longer available."""

    kind = 'answer-not-kept'
    status = 410
    execution = Execution.ran


class PoisonousRequestError(LadderError):
    """The request ran and crashed each target that executed it."""

    kind = 'poisonous-request'
    status = 422
    execution = Execution.ran
