"""Give waiting tasks to engines, and watch the runs."""

from collections.abc import Callable, Sequence

from ladder_core.timers import TimerService
from ladder_core.values import Route
from ladder_node.batches.engines import (
    EngineTracker,
    TrackedEngine,
    find_best_pace,
)
from ladder_node.batches.open_batch import (
    OpenBatch,
    OpenTask,
    needs_one_version,
)
from ladder_node.batches.registry import BatchRegistry, estimate_tokens
from ladder_node.batches.runner import RunProgress
from ladder_node.routes import RouteCache
from ladder_policy.rollouts import choose_engine, order_tasks

# Silence of a run after which it is resumed elsewhere. A load halts all runs
# of an engine for about a second; a first event takes 0.1 s, and some tenths
# where many prompts are read before it.
_EVENT_TIMEOUT_SECONDS = 1
_LOADING_EVENT_TIMEOUT_SECONDS = 2.2
_FIRST_EVENT_TIMEOUT_SECONDS = 1.3
# A run moves to a quicker engine if that saves at least this time; the new
# engine reads the text so far in some ten milliseconds.
_MIN_SPEEDUP = 1.2
# The ratio for engines of which few events are known.
_MIN_SPEEDUP_UNSETTLED = 2.5
_MIN_SAVED_SECONDS = 0.5
_MAX_MOVES = 2

StartRun = Callable[[OpenBatch, OpenTask, RunProgress], None]
WaitingTask = tuple[OpenBatch, OpenTask]
ActiveRun = tuple[OpenBatch, OpenTask, RunProgress]


class TaskDispatcher:
    """
    Choose an engine for each task.

    Parameters
    ----------
    book : BatchBook
        The open batches.
    engines : EngineTable
        The engines.
    routes : RouteCache
        The configuration.
    timers : TimerService
        Source of time.

    """

    def __init__(
        self,
        registry: BatchRegistry,
        engines: EngineTracker,
        routes: RouteCache,
        timers: TimerService,
    ) -> None:
        self._registry = registry
        self._engines = engines
        self._routes = routes
        self._timers = timers

    def list_by_urgency(self, service: str) -> list[WaitingTask]:
        """Return the waiting tasks of a service, the most urgent first."""
        now = self._timers.now()
        waiting = {
            batch.make_key(task): (batch, task)
            for batch, task in self._registry.list_waiting(now)
            if self.find_service(batch) == service
        }
        engines = self._engines.list_active(service, now)
        best_pace = find_best_pace(engines, now)
        views = self._registry.list_views(waiting.values(), best_pace)
        return [waiting[view.key] for view in order_tasks(views, now)]

    def find_route(self, batch: OpenBatch) -> Route | None:
        """Return the route of a batch as it is now."""
        spec = batch.spec
        return self._routes.require().find_route(spec.host, spec.prefix)

    def find_service(self, batch: OpenBatch) -> str:
        """Return the service that runs a batch; empty without a route."""
        route = self.find_route(batch)
        return route.shares[0].service if route else ''

    def dispatch(self, service: str, start: StartRun) -> list[WaitingTask]:
        """
        Start the tasks for which there is a place.

        Parameters
        ----------
        service : str
            The service.
        start : callable
            Starts a run.

        Returns
        -------
        list of (BatchWork, TaskWork)
            The tasks that still wait, the most urgent first.

        """
        left = []
        now = self._timers.now()
        usable = self._engines.list_usable(service, now)
        best_pace = find_best_pace(
            self._engines.list_active(service, now),
            now,
        )
        for batch, task in self.list_by_urgency(service):
            engine = self._choose(batch, task, usable, best_pace)
            if engine is None:
                left.append((batch, task))
                continue
            engine.add_task(task.task_id, batch.spec.model, task.spec.group)
            start(batch, task, RunProgress(engine, now))
        return left

    def list_runs_to_move(
        self,
        runs: Sequence[ActiveRun],
    ) -> list[tuple[ActiveRun, str]]:
        """
        Return the runs that should go on elsewhere, with the reason.

        Explanation
        -----------
        A run leaves a slow engine only for a slot that no other task waits
        for, so one run of a service at a time.

        Parameters
        ----------
        runs : sequence of (BatchWork, TaskWork, RunWatch)
            All runs.

        """
        now = self._timers.now()
        to_move = []
        busy = {
            self.find_service(batch)
            for batch, _ in self._registry.list_waiting(now)
        }
        for run in runs:
            batch, task, progress = run
            service = progress.engine.replica.service
            if now - progress.last_at > _find_event_timeout(progress):
                progress.engine.record.note_failure(now)
                to_move.append((run, 'silent'))
            elif service in busy:
                continue
            elif self._should_move(batch, task, progress, now):
                to_move.append((run, 'slow'))
                busy.add(service)
        return to_move

    def _choose(
        self,
        batch: OpenBatch,
        task: OpenTask,
        usable: Sequence[TrackedEngine],
        best_pace: float,
    ) -> TrackedEngine | None:
        now = self._timers.now()
        fitting = {
            engine.record.name: engine
            for engine in usable
            if self._fits(engine, batch, task)
        }
        chosen = choose_engine(
            (
                engine.make_view(task.spec.group, now)
                for engine in fitting.values()
            ),
            estimate_tokens(task),
            batch.due - now,
            best_pace,
        )
        return fitting[chosen.name] if chosen else None

    def _fits(
        self,
        engine: TrackedEngine,
        batch: OpenBatch,
        task: OpenTask,
    ) -> bool:
        model = batch.spec.model
        version = engine.replica.versions.get(model, 0)
        if not engine.free_slots or engine.loading == model:
            return False
        if version < batch.spec.min_version:
            return False
        if task.draft.versions and needs_one_version(self.find_route(batch)):
            return version == task.draft.versions[-1]
        return True

    def _should_move(
        self,
        batch: OpenBatch,
        task: OpenTask,
        progress: RunProgress,
        now: float,
    ) -> bool:
        """Return whether another engine would be done much sooner."""
        if progress.events < 2 or task.moves >= _MAX_MOVES:
            return False
        service = progress.engine.replica.service
        others = [
            engine
            for engine in self._engines.list_usable(service, now)
            if engine is not progress.engine and self._fits(engine, batch, task)
        ]
        if not others:
            return False
        known = [engine for engine in others if engine.has_settled_pace]
        is_sure = bool(known) and progress.engine.has_settled_pace
        pace = progress.engine.find_pace(now)
        best_pace = find_best_pace(known if is_sure else others, now)
        saved = estimate_tokens(task) * (pace - best_pace)
        ratio = _MIN_SPEEDUP if is_sure else _MIN_SPEEDUP_UNSETTLED
        return pace > ratio * best_pace and saved > _MIN_SAVED_SECONDS


def _find_event_timeout(progress: RunProgress) -> float:
    if progress.engine.loading:
        return _LOADING_EVENT_TIMEOUT_SECONDS
    return (
        _EVENT_TIMEOUT_SECONDS
        if progress.events
        else _FIRST_EVENT_TIMEOUT_SECONDS
    )
