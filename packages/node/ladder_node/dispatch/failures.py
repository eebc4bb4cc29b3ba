"""The combined outcome of the failed attempts of one request."""

from ladder_core.errors import (
    AnswerCorruptError,
    DeadlineError,
    LadderError,
    MayHaveRunError,
    NotRunError,
)

_FINAL_ERRORS = (AnswerCorruptError, DeadlineError)

ATTEMPT_ERRORS = (NotRunError, MayHaveRunError)


class AttemptFailures:
    """
    Collect the errors of the attempts of one request.

    Parameters
    ----------
    max_attempts : int
        Largest number of failed attempts since the last progress.
    is_repeatable : bool
        Whether the request may be sent again after an attempt that may have
        executed it, as for idempotent requests.

    Notes
    -----
    Once an attempt may have executed the request, the combined error stays
    that it may have run, even if later attempts are refused.

    """

    def __init__(self, max_attempts: int, *, is_repeatable: bool) -> None:
        self._max_attempts = max_attempts
        self._attempts_left = max_attempts
        self._is_repeatable = is_repeatable
        self._may_have_run: MayHaveRunError | None = None
        self._not_run: LadderError | None = None

    @property
    def has_failed(self) -> bool:
        """Whether any attempt has failed."""
        return bool(self._may_have_run or self._not_run)

    @property
    def is_final(self) -> bool:
        """Whether no further attempt may be made."""
        if self._may_have_run is not None and not self._is_repeatable:
            return True
        return self._attempts_left <= 0

    @property
    def error(self) -> LadderError:
        """The error that holds for all attempts together."""
        error = self._may_have_run or self._not_run
        if error is None:
            raise RuntimeError('no attempt has failed')
        return error

    def reset_attempts(self) -> None:
        """Allow all attempts again, because one has made progress."""
        self._attempts_left = self._max_attempts

    def stop(self) -> None:
        """Allow no further attempt."""
        self._attempts_left = 0

    def add(self, error: LadderError) -> None:
        """Record the error of a failed attempt."""
        self._attempts_left -= 1
        if isinstance(error, _FINAL_ERRORS):
            # A response that lacks a part can't be continued, and no caller
            # waits beyond the deadline.
            self.stop()
        if isinstance(error, MayHaveRunError):
            self._may_have_run = error
        else:
            self._not_run = error
