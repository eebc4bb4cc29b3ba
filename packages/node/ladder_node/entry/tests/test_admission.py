import dataclasses

import pytest

from ladder_core.errors import Execution, OverloadedError
from ladder_core.timers import ManualTimerService
from ladder_core.values import Plan
from ladder_node.entry.admission import Admission
from ladder_policy.admission import AdmitAll, PlanRates

RATE = 10
NOISY = Plan('noisy', 'a', '', requests_per_second=RATE)
QUIET = Plan('quiet', 'b', '', requests_per_second=RATE)
SECONDS = 20


def is_admitted(admission, plan):
    try:
        admission.admit(plan)
    except OverloadedError:
        return False
    return True


def exhaust(admission):
    admitted = [is_admitted(admission, NOISY) for _ in range(3 * RATE)]
    assert sum(admitted) == 2 * RATE


async def run(policy):
    """Send ten times its rate for one plan and the rate for another."""
    timers = ManualTimerService()
    admission = Admission(policy, timers)
    noisy, quiet = 0, 0
    for tick in range(SECONDS * RATE * 10):
        noisy += is_admitted(admission, NOISY)
        quiet += tick % 10 == 0 and is_admitted(admission, QUIET)
        await timers.advance(1 / (10 * RATE))
    return noisy, quiet


async def test_noisy_plan_is_held_to_its_rate_beside_its_neighbour():
    noisy, quiet = await run(PlanRates())
    assert noisy <= RATE * SECONDS + 2 * RATE
    assert quiet == RATE * SECONDS


async def test_plain_way_lets_ten_times_the_rate_in():
    noisy, _ = await run(AdmitAll())
    assert noisy == 10 * RATE * SECONDS


async def test_refusal_is_true_and_says_when_to_come_back():
    timers = ManualTimerService()
    admission = Admission(PlanRates(), timers)
    exhaust(admission)
    with pytest.raises(OverloadedError) as caught:
        admission.admit(NOISY)
    assert caught.value.execution is Execution.not_run
    assert caught.value.retry_after
    await timers.advance(caught.value.retry_after)
    admission.admit(NOISY)


async def test_changed_rate_is_in_force_at_once():
    timers = ManualTimerService()
    admission = Admission(PlanRates(), timers)
    exhaust(admission)
    admission.admit(dataclasses.replace(NOISY, requests_per_second=2 * RATE))
