"""Give waiting tasks to engines, and watch the runs."""

from collections.abc import Callable, Sequence

from ladder_core.timers import TimerService
from ladder_core.values import Route
from ladder_node.batches.book import BatchBook, estimate_tokens
from ladder_node.batches.engines import (
    EngineState,
    EngineTable,
    find_quickest,
)
from ladder_node.batches.runner import RunWatch
from ladder_node.batches.work import BatchWork, TaskWork, needs_one_version
from ladder_node.routes import RouteCache
from ladder_policy.rollouts import choose_engine, order_tasks

# Silence of a run after which it is resumed elsewhere. A load halts all runs
# of an engine for about a second; a first event takes 0.1 s, and some tenths
# where many prompts are read before it.
_SILENT_SECONDS = 1
_LOADING_SILENT_SECONDS = 2.2
_FIRST_EVENT_SECONDS = 1.3
# A run moves to a quicker engine if that saves at least this time; the new
# engine reads the text so far in some ten milliseconds.
_MOVE_RATIO = 1.2
# The ratio for engines of which few events are known.
_UNSETTLED_RATIO = 2.5
_MOVE_SAVES_SECONDS = 0.5
_MOST_MOVES = 2

Start = Callable[[BatchWork, TaskWork, RunWatch], None]
Waiting = tuple[BatchWork, TaskWork]
Run = tuple[BatchWork, TaskWork, RunWatch]


class TaskDispatch:
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
        book: BatchBook,
        engines: EngineTable,
        routes: RouteCache,
        timers: TimerService,
    ) -> None:
        self._book = book
        self._engines = engines
        self._routes = routes
        self._timers = timers

    def list_ordered(self, service: str) -> list[Waiting]:
        """Return the waiting tasks of a service, the most urgent first."""
        now = self._timers.now()
        waiting = {
            batch.make_key(work): (batch, work)
            for batch, work in self._book.list_waiting(now)
            if self.find_service(batch) == service
        }
        engines = self._engines.list_lasting(service, now)
        quickest = find_quickest(engines, now)
        views = self._book.list_views(waiting.values(), quickest)
        return [waiting[view.key] for view in order_tasks(views, now)]

    def find_route(self, batch: BatchWork) -> Route | None:
        """Return the route of a batch as it is now."""
        spec = batch.spec
        return self._routes.require().find_route(spec.host, spec.prefix)

    def find_service(self, batch: BatchWork) -> str:
        """Return the service that runs a batch; empty without a route."""
        route = self.find_route(batch)
        return route.shares[0].service if route else ''

    def dispatch(self, service: str, start: Start) -> list[Waiting]:
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
        quickest = find_quickest(
            self._engines.list_lasting(service, now),
            now,
        )
        for batch, work in self.list_ordered(service):
            engine = self._choose(batch, work, usable, quickest)
            if engine is None:
                left.append((batch, work))
                continue
            engine.begin(work.task_id, batch.spec.model, work.spec.group)
            start(batch, work, RunWatch(engine, now))
        return left

    def list_stuck(
        self,
        runs: Sequence[Run],
    ) -> list[tuple[Run, str]]:
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
        stuck = []
        busy = {
            self.find_service(batch)
            for batch, _ in self._book.list_waiting(now)
        }
        for run in runs:
            batch, work, watch = run
            service = watch.engine.replica.service
            if now - watch.last_at > _limit_silence(watch):
                watch.engine.record.note_failure(now)
                stuck.append((run, 'silent'))
            elif service in busy:
                continue
            elif self._is_worth_moving(batch, work, watch, now):
                stuck.append((run, 'slow'))
                busy.add(service)
        return stuck

    def _choose(
        self,
        batch: BatchWork,
        work: TaskWork,
        usable: Sequence[EngineState],
        quickest: float,
    ) -> EngineState | None:
        now = self._timers.now()
        fitting = {
            engine.record.name: engine
            for engine in usable
            if self._fits(engine, batch, work)
        }
        chosen = choose_engine(
            (engine.view(work.spec.group, now) for engine in fitting.values()),
            estimate_tokens(work),
            batch.due - now,
            quickest,
        )
        return fitting[chosen.name] if chosen else None

    def _fits(
        self,
        engine: EngineState,
        batch: BatchWork,
        work: TaskWork,
    ) -> bool:
        model = batch.spec.model
        version = engine.replica.versions.get(model, 0)
        if not engine.free_slots or engine.loading == model:
            return False
        if version < batch.spec.min_version:
            return False
        if work.draft.versions and needs_one_version(self.find_route(batch)):
            return version == work.draft.versions[-1]
        return True

    def _is_worth_moving(
        self,
        batch: BatchWork,
        work: TaskWork,
        watch: RunWatch,
        now: float,
    ) -> bool:
        """Return whether another engine would be done much sooner."""
        if watch.events < 2 or work.moves >= _MOST_MOVES:
            return False
        service = watch.engine.replica.service
        others = [
            engine
            for engine in self._engines.list_usable(service, now)
            if engine is not watch.engine and self._fits(engine, batch, work)
        ]
        if not others:
            return False
        known = [engine for engine in others if engine.has_settled_pace]
        is_sure = bool(known) and watch.engine.has_settled_pace
        pace = watch.engine.find_pace(now)
        quickest = find_quickest(known if is_sure else others, now)
        saved = estimate_tokens(work) * (pace - quickest)
        ratio = _MOVE_RATIO if is_sure else _UNSETTLED_RATIO
        return pace > ratio * quickest and saved > _MOVE_SAVES_SECONDS


def _limit_silence(watch: RunWatch) -> float:
    if watch.engine.loading:
        return _LOADING_SILENT_SECONDS
    return _SILENT_SECONDS if watch.events else _FIRST_EVENT_SECONDS
