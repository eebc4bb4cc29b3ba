"""Assignment of waiting tasks to engines, and detection of stuck runs."""

from collections.abc import Callable, Sequence

from ladder_core.timers import TimerService
from ladder_core.values import Route
from ladder_node.batches.engines import (
    EngineTracker,
    TrackedEngine,
    find_shortest_token_time,
)
from ladder_node.batches.open_batch import (
    Draft,
    OpenBatch,
    OpenTask,
    needs_one_version,
)
from ladder_node.batches.registry import BatchRegistry, estimate_tokens
from ladder_node.batches.reservations import SlotReservations
from ladder_node.batches.runner import RunProgress
from ladder_node.routes import RouteCache
from ladder_policy.scheduling import (
    RunView,
    choose_engine,
    order_tasks,
    should_leave,
    should_move,
    should_start_anew,
)

# Time without an event after which a run is resumed on another engine. A load
# halts all runs of an engine for about 1 s. The first event of a run takes
# 0.1 s, and a few tenths of a second if many prompts are processed before it.
_EVENT_TIMEOUT_SECONDS = 1
_LOADING_EVENT_TIMEOUT_SECONDS = 2.2
_FIRST_EVENT_TIMEOUT_SECONDS = 1.3
_MAX_MOVES = 2

StartRun = Callable[[OpenBatch, OpenTask, RunProgress], None]
WaitingTask = tuple[OpenBatch, OpenTask]
ActiveRun = tuple[OpenBatch, OpenTask, RunProgress]


class TaskDispatcher:
    """
    Choose an engine for each task.

    Parameters
    ----------
    registry : BatchRegistry
        Provides the open batches and their waiting tasks.
    engines : EngineTracker
        Provides the engines with their free slots and token times.
    routes : RouteCache
        Provides the route of each batch.
    timers : TimerService
        Clock for due times and event time-outs.

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
        self._reservations = SlotReservations(timers)

    def list_by_urgency(self, service: str) -> list[WaitingTask]:
        """Return the waiting tasks of a service, the most urgent first."""
        now = self._timers.now()
        waiting = {
            batch.make_key(task): (batch, task)
            for batch, task in self._registry.list_waiting(now)
            if self.find_service(batch) == service
        }
        engines = self._engines.list_active(service, now)
        shortest_token_time = find_shortest_token_time(engines, now)
        views = self._registry.list_views(waiting.values(), shortest_token_time)
        return [waiting[view.key] for view in order_tasks(views, now)]

    def find_route(self, batch: OpenBatch) -> Route | None:
        """Return the route of a batch in the present configuration."""
        spec = batch.spec
        table = self._routes.current
        return table.find_route(spec.host, spec.prefix) if table else None

    def find_service(self, batch: OpenBatch) -> str:
        """Return the service that runs a batch; empty without a route."""
        route = self.find_route(batch)
        return route.shares[0].service if route else ''

    def dispatch(self, service: str, start: StartRun) -> list[WaitingTask]:
        """
        Start the waiting tasks for which an engine has a free slot.

        Parameters
        ----------
        service : str
            Name of the service whose tasks and engines are considered.
        start : callable
            Starts a run; called with the batch, the task and its progress.

        Returns
        -------
        list of (OpenBatch, OpenTask)
            The tasks that still wait, the most urgent first.

        """
        left = []
        now = self._timers.now()
        self._reservations.drop_expired()
        usable = self._engines.list_usable(service, now)
        shortest_token_time = find_shortest_token_time(
            self._engines.list_active(service, now),
            now,
        )
        for batch, task in self.list_by_urgency(service):
            engine = self._take_reservation(batch, task, usable)
            if engine is None:
                engine = self._choose(batch, task, usable, shortest_token_time)
            starts_anew = engine is None
            if starts_anew:
                engine = self._choose_other_software(
                    batch, task, usable, shortest_token_time
                )
            if engine is None:
                left.append((batch, task))
                continue
            engine.add_task(task.task_id, batch.spec.model, task.spec.group)
            progress = RunProgress(
                engine,
                now,
                self._find_priority(batch),
                starts_anew=starts_anew,
            )
            start(batch, task, progress)
        return left

    def list_runs_to_move(
        self,
        runs: Sequence[ActiveRun],
    ) -> list[tuple[ActiveRun, str]]:
        """
        Return the runs that should move to another engine, with the reason.

        Explanation
        -----------
        A run that moves away from a slow engine has a slot reserved at another
        one. At most one run of a service moves at a time. The runs of an engine
        that the platform takes back move together.

        Parameters
        ----------
        runs : sequence of (OpenBatch, OpenTask, RunProgress)
            All runs that are in progress.

        Returns
        -------
        list of (run, str)
            Each run to move, with the reason `silent`, `leaving` or `slow`.

        """
        now = self._timers.now()
        to_move = []
        moved: set[str] = set()
        busy = {
            self.find_service(batch)
            for batch, _ in self._registry.list_waiting(now)
        }
        for run in runs:
            batch, task, progress = run
            service = progress.engine.replica.service
            if now - progress.last_at > _find_event_timeout(progress):
                progress.engine.record.record_failure(now)
                to_move.append((run, 'silent'))
            elif self._has_to_leave(run, now):
                to_move.append((run, 'leaving'))
            elif service not in moved and self._reserve_faster(
                run, now, service in busy
            ):
                to_move.append((run, 'slow'))
                moved.add(service)
        return to_move

    def _choose(
        self,
        batch: OpenBatch,
        task: OpenTask,
        usable: Sequence[TrackedEngine],
        shortest_token_time: float,
        draft: Draft | None = None,
    ) -> TrackedEngine | None:
        """Return the engine for a task with its draft, or with another."""
        now = self._timers.now()
        tokens = estimate_tokens(task)
        fitting = {
            engine.record.name: engine
            for engine in usable
            if self._fits(engine, batch, draft or task.draft)
        }
        chosen = choose_engine(
            (
                engine.make_view(task.spec.group, tokens, now)
                for engine in fitting.values()
            ),
            tokens,
            batch.due - now,
            shortest_token_time,
        )
        return fitting[chosen.name] if chosen else None

    def _choose_other_software(
        self,
        batch: OpenBatch,
        task: OpenTask,
        usable: Sequence[TrackedEngine],
        shortest_token_time: float,
    ) -> TrackedEngine | None:
        """Return an engine at which a text starts anew, or None to wait."""
        engine = None
        if task.draft.event_texts:
            engine = self._choose(
                batch, task, usable, shortest_token_time, Draft()
            )
        if engine is None:
            task.stranded_at = None
            return None
        now = self._timers.now()
        if task.stranded_at is None:
            task.stranded_at = now
        made_tokens = len(task.draft.event_texts) * task.tokens_per_event
        service = engine.replica.service
        starts_anew = should_start_anew(
            now - task.stranded_at,
            made_tokens * shortest_token_time,
            has_engine=any(
                task.draft.fits_software(active.replica.software_id)
                for active in self._engines.list_active(service, now)
            ),
        )
        return engine if starts_anew else None

    def _fits(
        self,
        engine: TrackedEngine,
        batch: OpenBatch,
        draft: Draft,
    ) -> bool:
        model = batch.spec.model
        version = engine.replica.versions.get(model, 0)
        if not engine.free_slots or engine.loading == model:
            return False
        if version < batch.spec.min_version:
            return False
        if not engine.permits(self._find_priority(batch)):
            return False
        if not draft.fits_software(engine.replica.software_id):
            return False
        if draft.versions and needs_one_version(self.find_route(batch)):
            return version == draft.versions[-1]
        return True

    def _find_priority(self, batch: OpenBatch) -> int:
        table, route = self._routes.current, self.find_route(batch)
        if table is None or route is None:
            return 0
        return table.find_priority(route, batch.spec.organisation)

    def _has_to_leave(self, run: ActiveRun, now: float) -> bool:
        """Return whether a run has to leave an engine that is taken back."""
        _, task, progress = run
        leaves_at = progress.engine.record.leaves_at
        if leaves_at is None:
            return False
        token_seconds = progress.engine.estimate_token_time(now)
        run_seconds = estimate_tokens(task) * token_seconds
        left = leaves_at - now
        if not should_leave(run_seconds, left, has_slot=True):
            return False
        has_slot = self._reserve_any(run, now)
        return should_leave(run_seconds, left, has_slot=has_slot)

    def _reserve_any(self, run: ActiveRun, now: float) -> bool:
        """Reserve a slot at another engine; return False if there is none."""
        batch, task, progress = run
        key = batch.make_key(task)
        if key in self._reservations:
            return True
        service = progress.engine.replica.service
        shortest_token_time = find_shortest_token_time(
            self._engines.list_active(service, now), now
        )
        engine = self._choose(
            batch,
            task,
            self._engines.list_usable(service, now),
            shortest_token_time,
        )
        if engine is None:
            return False
        self._reservations.add(key, engine, batch.spec.model, task.spec.group)
        return True

    def _reserve_faster(
        self, run: ActiveRun, now: float, others_wait: bool
    ) -> bool:
        """Reserve a slot that completes a text much sooner; False if none."""
        batch, task, progress = run
        key = batch.make_key(task)
        if progress.events < 2 or task.moves >= _MAX_MOVES:
            return False
        if key in self._reservations:
            return False
        others = [
            engine
            for engine in self._engines.list_usable(
                progress.engine.replica.service, now
            )
            if engine is not progress.engine
            and self._fits(engine, batch, task.draft)
        ]
        converged = [engine for engine in others if engine.has_converged]
        is_certain = bool(converged) and progress.engine.has_converged
        tokens = estimate_tokens(task)
        fastest = min(
            converged if is_certain else others,
            key=lambda engine: engine.estimate_token_time(now, tokens),
            default=None,
        )
        if fastest is None or not should_move(
            RunView(
                tokens,
                progress.engine.estimate_likely_time(now, tokens),
                batch.due - now,
            ),
            fastest.estimate_token_time(now, tokens),
            is_certain,
            others_wait,
        ):
            return False
        self._reservations.add(key, fastest, batch.spec.model, task.spec.group)
        return True

    def _take_reservation(
        self,
        batch: OpenBatch,
        task: OpenTask,
        usable: Sequence[TrackedEngine],
    ) -> TrackedEngine | None:
        """Return the engine with a slot reserved for a task, if it fits."""
        engine = self._reservations.release(batch.make_key(task))
        if engine is None or engine not in usable:
            return None
        return engine if self._fits(engine, batch, task.draft) else None


def _find_event_timeout(progress: RunProgress) -> float:
    if progress.engine.loading:
        return _LOADING_EVENT_TIMEOUT_SECONDS
    return (
        _EVENT_TIMEOUT_SECONDS
        if progress.events
        else _FIRST_EVENT_TIMEOUT_SECONDS
    )
