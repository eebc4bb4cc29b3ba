"""Which requests of a plan are let in."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ladder_core.values import Plan
from ladder_policy.admission.bucket import TokenBucket

_BURST_SECONDS = 2


class AdmissionPolicy(ABC):
    """Decides about each request of a plan before any work is done for it."""

    @abstractmethod
    def admit(self, plan: Plan, now: float) -> float:
        """
        Let a request in, or tell when to come back.

        Parameters
        ----------
        plan : Plan
            The plan that pays for the request.
        now : float
            Seconds.

        Returns
        -------
        float
            Zero if the request is let in, otherwise the seconds until one
            will be.

        """


class AdmitAll(AdmissionPolicy):
    """Let everything in: the plain way."""

    def admit(self, plan: Plan, now: float) -> float:
        """Let it in."""
        return 0


class PlanRates(AdmissionPolicy):
    """
    Hold each plan to its rate of requests, with a burst of two seconds.

    Examples
    --------
    >>> rates = PlanRates()
    >>> plan = Plan('app', 'co-op', '', requests_per_second=0.5)
    >>> rates.admit(plan, now=0), rates.admit(plan, now=0)
    (0, 2.0)

    """

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}

    def admit(self, plan: Plan, now: float) -> float:
        """Let a request in if the plan's bucket holds a token."""
        rate = plan.requests_per_second
        limit = self._limits.get(plan.name)
        if limit is None or limit.rate != rate:
            # A plan below one request in two seconds may still make one.
            burst = max(1, rate * _BURST_SECONDS)
            limit = _Limit(rate, TokenBucket(rate, burst, now))
            self._limits[plan.name] = limit
        if limit.bucket.take(1, now):
            return 0
        return limit.bucket.wait(1, now)


@dataclass(frozen=True, slots=True)
class _Limit:
    """The bucket of a plan and the rate that it was made for."""

    rate: float
    bucket: TokenBucket
