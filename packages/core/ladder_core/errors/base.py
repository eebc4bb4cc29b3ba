"""The root of the errors, and whether a failed request was executed."""

from enum import StrEnum
from typing import ClassVar


class Execution(StrEnum):
    """Whether a target executed the request that an error answers."""

    ran = 'ran'
    not_run = 'not-run'
    may_have_run = 'may-have-run'


class LadderError(Exception):
    """
    Root of all errors of this project.

    Parameters
    ----------
    message : str
        What is wrong, with the names and numbers involved.
    remedy : str
        What the reader of the message can do about it.
    retry_after : float, optional
        Seconds after which the same request may succeed.

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
        """Join the message and its remedy."""
        return f'{self.message}; {self.remedy}'


class SettingsError(LadderError):
    """A settings file or one of the two lists is invalid."""

    kind = 'invalid-settings'
    status = 400
    execution = Execution.not_run
