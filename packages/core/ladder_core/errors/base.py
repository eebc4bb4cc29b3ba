"""Base class of all errors, and whether a failed request was executed."""

from enum import StrEnum
from typing import ClassVar


class Execution(StrEnum):
    """Whether a target executed the request that failed."""

    ran = 'ran'
    not_run = 'not-run'
    may_have_run = 'may-have-run'


class LadderError(Exception):
    """
    Base class of all errors of this project.

    Parameters
    ----------
    message : str
        Description of the failure, with the names and numbers involved.
    remedy : str
        Action by which the reader of the message can resolve the failure.
    retry_after : float, optional
        Seconds after which the same request may succeed; None if unknown.

    Attributes
    ----------
    kind : str
        Name of the error in the responses to callers; set by each class.
    status : int
        HTTP status of the response.
    execution : Execution
        Whether a target executed the request.

    Examples
    --------
    >>> error = LadderError('plan a is unknown', remedy='add it to plans.yaml')
    >>> str(error)
    'plan a is unknown; add it to plans.yaml'

    """

    kind: ClassVar[str] = 'internal-error'
    status: ClassVar[int] = 500
    execution: ClassVar[Execution] = Execution.may_have_run

    def __init__(
        self,
        message: str,
        *,
        remedy: str,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy
        self.retry_after = retry_after

    def __str__(self) -> str:
        """Return the message followed by its remedy."""
        return f'{self.message}; {self.remedy}'


class SettingsError(LadderError):
    """A settings file, or a file of plans or allowances, is invalid."""

    kind = 'invalid-settings'
    status = 400
    execution = Execution.not_run
