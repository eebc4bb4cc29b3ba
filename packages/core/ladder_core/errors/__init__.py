"""The tree of typed errors."""

from ladder_core.errors.refusals import (
    BadRequestError,
    ConflictError,
    ForbiddenError,
    KeyReusedError,
    NotReadyError,
    NotRunError,
    OverloadedError,
    StoreUnavailableError,
    TargetUnavailableError,
    TooLargeError,
    UnauthorizedError,
    UnknownNameError,
)
from ladder_core.errors.runs import (
    AnswerCorruptError,
    AnswerNotKeptError,
    InProgressError,
    MayHaveRunError,
    PoisonousRequestError,
    TargetLostError,
    TargetRefusedError,
    TargetTimeoutError,
)
from ladder_core.errors.tree import Execution, LadderError, SettingsError

__all__ = (
    'AnswerCorruptError',
    'AnswerNotKeptError',
    'BadRequestError',
    'ConflictError',
    'Execution',
    'ForbiddenError',
    'InProgressError',
    'KeyReusedError',
    'LadderError',
    'MayHaveRunError',
    'NotReadyError',
    'NotRunError',
    'OverloadedError',
    'PoisonousRequestError',
    'SettingsError',
    'StoreUnavailableError',
    'TargetLostError',
    'TargetRefusedError',
    'TargetTimeoutError',
    'TargetUnavailableError',
    'TooLargeError',
    'UnauthorizedError',
    'UnknownNameError',
)
