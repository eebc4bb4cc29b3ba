"""Refuse early what a plan is not entitled to."""

from prometheus_client import Counter

from ladder_core.errors import OverloadedError
from ladder_core.timers import TimerService
from ladder_core.values import Plan
from ladder_policy.admission import AdmissionPolicy

_REQUESTS = Counter(
    'ladder_admission_requests',
    'Interactive requests by plan and by whether they were let in',
    ['plan', 'outcome'],
)


class Admission:
    """
    Let interactive requests in or refuse them before any work.

    Parameters
    ----------
    policy : AdmissionPolicy
        Decides.
    timers : TimerService
        Source of time.

    """

    def __init__(self, policy: AdmissionPolicy, timers: TimerService) -> None:
        self._policy = policy
        self._timers = timers

    def admit(self, plan: Plan) -> None:
        """
        Let a request of a plan in.

        Raises
        ------
        OverloadedError
            The plan is over its rate; nothing was run.

        """
        wait = self._policy.admit(plan, self._timers.now())
        if not wait:
            _REQUESTS.labels(plan.name, 'admitted').inc()
            return
        _REQUESTS.labels(plan.name, 'refused').inc()
        raise OverloadedError(
            f'plan {plan.name} is over its {plan.requests_per_second} '
            'requests a second',
            remedy='come back later, or extend the plan',
            retry_after=wait,
        )
