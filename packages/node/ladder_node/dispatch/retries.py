"""Policies that decide whether and when a request may be retried."""

from abc import ABC, abstractmethod

from prometheus_client import Counter

from ladder_core.timers import TimerService
from ladder_policy.admission import RetryBudget

_MAX_WAIT_SECONDS = 2
_POLL_INTERVAL_SECONDS = 0.1

_RETRIES = Counter(
    'ladder_retries',
    'Attempts after the first of a request, and those not made',
    ['outcome'],
)


class RetryPolicy(ABC):
    """Decides about retries: all attempts of a request after the first."""

    @abstractmethod
    def record_request(self) -> None:
        """Record the first attempt of a request."""

    @abstractmethod
    async def take_retry(self) -> bool:
        """Return whether a retry may be made; this may wait a limited time."""


class UnlimitedRetries(RetryPolicy):
    """Allows a retry whenever an attempt fails."""

    def record_request(self) -> None:
        """Record nothing."""

    async def take_retry(self) -> bool:
        """Allow the retry."""
        return True


class BudgetedRetries(RetryPolicy):
    """
    Limit retries to a share of the requests.

    Parameters
    ----------
    timers : TimerService
        Clock for the budget and for the wait.

    Notes
    -----
    All streams of a crashed engine break at once. A retry therefore waits a
    limited time for the retry budget, so that the streams continue one after
    another.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._budget = RetryBudget(timers.now())

    def record_request(self) -> None:
        """Add a request's share of a retry to the budget."""
        self._budget.record_request()

    async def take_retry(self) -> bool:
        """Wait a limited time until the budget allows a retry."""
        deadline = self._timers.now() + _MAX_WAIT_SECONDS
        while not self._budget.take_retry(self._timers.now()):
            if self._timers.now() >= deadline:
                _RETRIES.labels('refused').inc()
                return False
            await self._timers.sleep(_POLL_INTERVAL_SECONDS)
        _RETRIES.labels('made').inc()
        return True
