"""Whether and when a request may be sent again."""

from abc import ABC, abstractmethod

from prometheus_client import Counter

from ladder_core.timers import TimerService
from ladder_policy.admission import RetryBudget

_MAX_WAIT_SECONDS = 2
_POLL_SECONDS = 0.1

_RETRIES = Counter(
    'ladder_retries',
    'Attempts after the first of a request, and those not made',
    ['outcome'],
)


class RetryPolicy(ABC):
    """Decides about the attempts after the first."""

    @abstractmethod
    def note_request(self) -> None:
        """Note the first attempt of a request."""

    @abstractmethod
    async def take_retry(self) -> bool:
        """Return whether a further attempt may be made now."""


class UnlimitedRetries(RetryPolicy):
    """Send again whenever an attempt fails: the plain way."""

    def note_request(self) -> None:
        """Keep no account."""

    async def take_retry(self) -> bool:
        """Allow it."""
        return True


class BudgetedRetries(RetryPolicy):
    """
    Allow retries as a share of the requests.

    Parameters
    ----------
    timers : TimerService
        Source of time.

    Notes
    -----
    The streams of a crashed engine break all at once. A retry therefore
    waits a little for the budget, so that they go on one after another.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._budget = RetryBudget(timers.now())

    def note_request(self) -> None:
        """Earn a part of a retry."""
        self._budget.record_request()

    async def take_retry(self) -> bool:
        """Wait for the budget for a limited time."""
        deadline = self._timers.now() + _MAX_WAIT_SECONDS
        while not self._budget.take_retry(self._timers.now()):
            if self._timers.now() >= deadline:
                _RETRIES.labels('refused').inc()
                return False
            await self._timers.sleep(_POLL_SECONDS)
        _RETRIES.labels('made').inc()
        return True
