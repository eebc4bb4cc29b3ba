"""Scoring of complete texts through the scorers' routes."""

from dataclasses import replace

from prometheus_client import Histogram

from ladder_clients.replicas import CallerRequest
from ladder_core.errors import (
    LadderError,
    TargetLimitedError,
    TargetLostError,
)
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Route
from ladder_node.batches.attempt_limits import AttemptLimits
from ladder_node.batches.open_batch import OpenTask
from ladder_node.batches.spec import ScorerSpec
from ladder_node.forwarding import CompleteResponse, Forwarder

_OK_STATUS = 200
_MIN_REDIRECTION_STATUS = 300
_RETRY_INTERVAL_SECONDS = 0.1
# The time limit of a scoring call as a multiple of the route's time-out. A
# step waits far longer than other callers of the route, so the call may try
# all replicas even if each of them is slow.
_TIMEOUT_FACTOR = 3

_scoring_histogram = Histogram(
    'ladder_scoring_seconds',
    'Time from a whole text to its score',
)


class TaskScorer:
    """
    Call the scorers of tasks through their routes.

    Parameters
    ----------
    forwarder : Forwarder
        Sends the calls to replicas of the scorer's service.
    limits : AttemptLimits
        Knows the routes of scorers, and how many attempts they allow.
    timers : TimerService
        Clock for the pauses between calls.
    timeline : Timeline
        Records the scorings that wait for a route.

    """

    def __init__(
        self,
        forwarder: Forwarder,
        limits: AttemptLimits,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._forwarder = forwarder
        self._limits = limits
        self._timers = timers
        self._timeline = timeline

    async def score(self, task: OpenTask) -> str | None:
        """
        Return the score of a complete text.

        Explanation
        -----------
        A scorer may be called repeatedly for the same text, so the call is
        repeated until it succeeds or has failed as often as its route allows.
        While the configuration has no route for it, the task waits: a later
        configuration may have one, or this node has not read the present one.

        Parameters
        ----------
        task : OpenTask
            A task whose text is complete; failed scorings are counted in it.

        Returns
        -------
        str or None
            The scorer's signature of its response, empty for a task without a
            scorer; None if the attempts are used up.

        """
        scorer = task.spec.scorer
        if scorer is None:
            return ''
        started_at = self._timers.now()
        request = _make_request(scorer)
        while True:
            if await self._limits.confirm_reached(
                scorer.host, scorer.target, task.failed_scorings
            ):
                return None
            route = await self._await_route(scorer, task)
            response = await self._call(route, request, task)
            if response is not None:
                task.scoring_pause.record_progress()
            if (
                response is not None
                and _OK_STATUS <= response.status < _MIN_REDIRECTION_STATUS
            ):
                _scoring_histogram.observe(self._timers.now() - started_at)
                return response.signature
            await self._timers.sleep(_RETRY_INTERVAL_SECONDS)

    async def _await_route(self, scorer: ScorerSpec, task: OpenTask) -> Route:
        """Return the route of a scorer as soon as there is one."""
        route = self._find_route(scorer)
        if route is None:
            self._timeline.record(
                'scoring-waits-for-route',
                task.task_id,
                host=scorer.host,
                path=scorer.target,
            )
        while route is None:
            await self._timers.sleep(_RETRY_INTERVAL_SECONDS)
            route = self._find_route(scorer)
        return route

    def _find_route(self, scorer: ScorerSpec) -> Route | None:
        return self._limits.find_route(scorer.host, scorer.target)

    async def _call(
        self,
        route: Route,
        request: CallerRequest,
        task: OpenTask,
    ) -> CompleteResponse | None:
        limited = _limit(route, is_single=task.scoring_pause.has_losses)
        try:
            return await self._forwarder.forward(
                limited,
                request,
                limited.timeout_seconds,
                task.count_failed_scoring,
            )
        except TargetLostError:
            await self._timers.sleep(task.scoring_pause.record_loss())
            return None
        except TargetLimitedError as error:
            await self._timers.sleep(error.retry_after or 0)
            return None
        except LadderError:
            # The forwarder has recorded the outcome and its reason.
            return None


def _limit(route: Route, *, is_single: bool) -> Route:
    """
    Return a route with the limits of a scoring call.

    A call under which scorers were lost is sent to a single one, so that it
    does not end all of them.
    """
    if is_single:
        return replace(route, max_attempts=1)
    return replace(
        route, timeout_seconds=_TIMEOUT_FACTOR * route.timeout_seconds
    )


def _make_request(scorer: ScorerSpec) -> CallerRequest:
    return CallerRequest(
        scorer.call_id,
        b'POST',
        scorer.target.encode(),
        ((b'Host', scorer.host.encode()),),
        scorer.body,
        scorer.call_id,
    )
