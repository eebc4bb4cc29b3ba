"""Number of calls of a scorer, and their time limits."""

import asyncio

import pytest

from ladder_core.errors import DeadlineError, TargetLostError
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_node.batches.attempt_limits import AttemptLimits
from ladder_node.batches.open_batch import OpenTask
from ladder_node.batches.scoring import TaskScorer
from ladder_node.batches.tests.fakes import (
    HOST,
    FakeRouteSource,
    make_routes,
    make_task,
)
from ladder_node.forwarding import CompleteResponse, Forwarder
from ladder_node.routes import RouteCache, RouteConfirmation


class ScriptedForwarder(Forwarder):
    """
    Forwarder whose calls have scripted outcomes.

    Each entry of the script is the number of failed runs of a call and its
    status; None as the status stands for a time-out, an error for itself.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.limits = []
        self.attempts = []

    async def forward(self, route, request, seconds, on_failure=None):
        self.limits.append(seconds)
        self.attempts.append(route.max_attempts)
        failures, status = self.script.pop(0)
        for _ in range(failures):
            if on_failure is not None:
                on_failure()
        if isinstance(status, Exception):
            raise status
        if status is None:
            raise DeadlineError('late', remedy='allow more time')
        return CompleteResponse(status, (), b'', 's', 'signature')


async def score(*script, timers=None):
    timers = timers or ManualTimerService()
    timeline = Timeline('a', HybridClock(timers))
    routes = RouteCache(timeline)
    routes.offer(make_routes())
    forwarder = ScriptedForwarder(*script)
    confirmation = RouteConfirmation(
        routes, FakeRouteSource(), timers, timeline
    )
    limits = AttemptLimits(confirmation, timers)
    scorer = TaskScorer(forwarder, limits, timers, timeline)
    task = OpenTask(make_task('t', 'g'))
    scoring = asyncio.ensure_future(scorer.score(task))
    while not scoring.done():
        await timers.advance(0.1)
    return scoring.result(), forwarder


async def test_failures_before_a_timeout_are_counted():
    # Guards against endless repetition of a call that fails on all replicas.
    # If the attempts did not fit into one time limit, their failures were not
    # counted, and the call was repeated for 50 s while its group stayed
    # incomplete.
    signature, forwarder = await score((3, None), (3, None), (0, 200))
    assert signature is None
    assert len(forwarder.limits) == 2


@pytest.mark.parametrize('status', [500, 503, 504])
async def test_answers_that_are_no_failed_runs_are_not_counted(status):
    signature, _ = await score(*[(0, status) for _ in range(9)], (3, 200))
    assert signature == 'signature'


async def test_call_may_take_longer_than_a_caller_of_the_route():
    _, forwarder = await score((0, 200))
    route = make_routes().find_route(HOST, '/score/')
    assert forwarder.limits[0] > 2 * route.timeout_seconds


async def test_call_under_which_scorers_are_lost_is_sent_to_single_ones():
    """
    Guards against calls that end all scorers of a route, or are held back.

    After a first loss each call goes to one replica; after the second it waits
    for a second. A response of a scorer ends both.
    """
    timers = ManualTimerService()
    lost = TargetLostError('lost', remedy='call again')
    signature, forwarder = await score(
        *[(0, lost) for _ in range(4)], (1, 500), (0, 200), timers=timers
    )
    assert signature == 'signature'
    assert forwarder.attempts == [4, 1, 1, 1, 1, 4]
    assert 3 <= timers.now() < 4
