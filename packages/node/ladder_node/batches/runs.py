"""Start and end of the runs and scorings of tasks."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from prometheus_client import Counter, Histogram

from ladder_core.errors import TaskRejectedError
from ladder_core.timeline import Timeline
from ladder_node.batches.attempt_limits import AttemptLimits
from ladder_node.batches.dependencies import OwnerDependencies
from ladder_node.batches.dispatcher import ActiveRun, TaskDispatcher
from ladder_node.batches.open_batch import OpenBatch, OpenTask, Stage
from ladder_node.batches.registry import BatchRegistry
from ladder_node.batches.result_writer import make_given_up_result
from ladder_node.batches.runner import RunProgress, TaskRunner
from ladder_node.batches.scoring import TaskScorer
from ladder_node.batches.task_group import LeaseTaskGroup

_wait_histogram = Histogram(
    'ladder_task_wait_seconds',
    'Time from the acceptance of a batch to the first run of a task',
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)
_resume_histogram = Histogram(
    'ladder_task_resume_seconds',
    'Time from the end of a run of a task to its next run, by what it waited'
    ' for: held back by this node, or no engine with a free slot',
    ('cause',),
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)
_new_starts_counter = Counter(
    'ladder_texts_started_anew_total',
    'Texts that were dropped as only engines of other software had room',
)
# Shorter waits between two runs are counted, but not logged.
_MIN_LOGGED_WAIT_SECONDS = 1


class TaskRuns:
    """
    Manage the runs and scorings of the tasks of all open batches.

    Parameters
    ----------
    dependencies : OwnerDependencies
        Components of the node, such as the clients, the routes and the clock.
    registry : BatchRegistry
        Holds the open batches; results of other batches are dropped.
    dispatcher : TaskDispatcher
        Finds the routes of batches and the runs that should move.
    task_group : LeaseTaskGroup
        Runs the asyncio tasks.
    wake : callable
        Called when a slot has become free, so that planning runs again.

    """

    def __init__(
        self,
        dependencies: OwnerDependencies,
        registry: BatchRegistry,
        dispatcher: TaskDispatcher,
        task_group: LeaseTaskGroup,
        wake: Callable[[], None],
    ) -> None:
        self._dependencies = dependencies
        self._timers = dependencies.timers
        self._registry = registry
        self._dispatcher = dispatcher
        self._task_group = task_group
        self._wake = wake
        self._runner = TaskRunner(
            dependencies.client,
            dependencies.detector,
            dependencies.timers,
            dependencies.timeline,
        )
        self._limits = AttemptLimits(
            dependencies.confirmation, dependencies.timers
        )
        self._scorer = TaskScorer(
            dependencies.forwarder,
            self._limits,
            dependencies.timers,
            dependencies.timeline,
        )
        self._runs: dict[str, ActiveRun] = {}
        self._asyncio_tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def active(self) -> tuple[ActiveRun, ...]:
        """The runs that are in progress."""
        return tuple(self._runs.values())

    def resume_scoring(self, batch: OpenBatch) -> None:
        """Start scoring the texts of a new batch that are already complete."""
        for task in batch.tasks.values():
            if task.stage is Stage.waiting and task.draft.is_complete:
                self._begin(
                    batch, task, Stage.scoring, self._score(batch, task)
                )

    def start(
        self,
        batch: OpenBatch,
        task: OpenTask,
        progress: RunProgress,
    ) -> None:
        """Start a run of a task on an engine."""
        task.stage = Stage.running
        if not task.started_at:
            task.started_at = self._timers.now()
            opened = batch.due - batch.head.step_seconds
            _wait_histogram.observe(max(task.started_at - opened, 0))
        if task.ended_at:
            _record_resumption(self._dependencies, batch, task, progress)
        task.stranded_at = None
        if progress.starts_anew:
            _record_new_start(
                self._dependencies.timeline, batch, task, progress
            )
            task.draft.clear()
        if not task.draft.satisfies(batch.spec.min_version):
            task.draft.clear()
        key = batch.make_key(task)
        self._runs[key] = (batch, task, progress)
        asyncio_task = self._task_group.spawn(self._run(batch, task, progress))
        self._asyncio_tasks[key] = asyncio_task
        # An asyncio task that is cancelled before its first step runs none of
        # its code, so the slot is freed by a callback.
        asyncio_task.add_done_callback(
            lambda ended: self._finish(batch, task, progress, ended),
        )

    def cancel(self, batch: OpenBatch, task: OpenTask) -> None:
        """Cancel the run or the scoring of a task; its draft is kept."""
        asyncio_task = self._asyncio_tasks.get(batch.make_key(task))
        if asyncio_task is not None:
            asyncio_task.cancel()

    def cancel_batch(self, batch: OpenBatch) -> None:
        """Cancel all runs and scorings of a batch."""
        for task in batch.tasks.values():
            self.cancel(batch, task)

    def move_runs(self) -> None:
        """Cancel the runs that should be resumed on another engine."""
        for run, reason in self._dispatcher.list_runs_to_move(self.active):
            batch, task, progress = run
            self._dependencies.timeline.record(
                'task-moved',
                task.task_id,
                batch=batch.batch_id,
                reason=reason,
                replica=progress.engine.record.name,
                software=progress.engine.replica.software_id,
                events=len(task.draft.event_texts),
            )
            if reason == 'slow':
                task.moves += 1
            self.cancel(batch, task)

    def give_up_expired(self) -> None:
        """Give up the tasks of batches whose retention time is over."""
        now = self._timers.now()
        for batch in self._registry.batches:
            if now < batch.expires:
                continue
            for task in batch.tasks.values():
                self.cancel(batch, task)
                self._give_up_task(batch, task, 'expired')

    async def _run(
        self,
        batch: OpenBatch,
        task: OpenTask,
        progress: RunProgress,
    ) -> None:
        table = self._dependencies.routes.current
        service = table and table.services.get(progress.engine.replica.service)
        if service:
            task.tokens_per_event = service.tokens_per_event
        try:
            await self._runner.run(batch, task, progress)
        except TaskRejectedError:
            self._give_up_task(batch, task, 'rejected')

    def _finish(
        self,
        batch: OpenBatch,
        task: OpenTask,
        progress: RunProgress,
        ended: asyncio.Task[None],
    ) -> None:
        """Free the slot of a run, and decide on the next step of the task."""
        progress.engine.remove_task(task.task_id)
        key = batch.make_key(task)
        self._runs.pop(key, None)
        self._asyncio_tasks.pop(key, None)
        task.ended_at = self._timers.now()
        if task.stage is Stage.running:
            task.stage = Stage.waiting
        self._wake()
        if ended.cancelled() or ended.exception() is not None:
            return
        if task.stage is Stage.waiting and not self._is_closed(batch):
            self._follow_up(batch, task)

    def _is_closed(self, batch: OpenBatch) -> bool:
        return self._registry.find(batch.batch_id) is None

    def _follow_up(self, batch: OpenBatch, task: OpenTask) -> None:
        """Start scoring, retry or give up after a run ended by itself."""
        if task.draft.is_complete:
            self._begin(batch, task, Stage.scoring, self._score(batch, task))
        elif self._limits.is_reached(
            batch.spec.host, batch.spec.prefix, task.failed_runs
        ):
            self._begin(
                batch, task, Stage.failed, self._confirm_failure(batch, task)
            )

    async def _confirm_failure(self, batch: OpenBatch, task: OpenTask) -> None:
        """Give a task up if the route in force allows no more runs."""
        has_failed = await self._limits.confirm_reached(
            batch.spec.host, batch.spec.prefix, task.failed_runs
        )
        if self._is_closed(batch) or task.stage is not Stage.failed:
            return
        if has_failed:
            self._give_up_task(batch, task, 'failed')
            return
        task.stage = Stage.waiting
        self._wake()

    def _begin(
        self,
        batch: OpenBatch,
        task: OpenTask,
        stage: Stage,
        coroutine: Coroutine[Any, Any, None],
    ) -> None:
        """Begin a stage of a task that a coroutine carries out."""
        task.stage = stage
        key = batch.make_key(task)
        asyncio_task = self._task_group.spawn(coroutine)
        self._asyncio_tasks[key] = asyncio_task
        asyncio_task.add_done_callback(
            lambda _: self._asyncio_tasks.pop(key, None)
        )

    async def _score(self, batch: OpenBatch, task: OpenTask) -> None:
        started_at = self._timers.now()
        score = await self._scorer.score(task)
        scorer = task.spec.scorer
        self._dependencies.timeline.record(
            'task-scored',
            task.task_id,
            batch=batch.batch_id,
            call=scorer.call_id if scorer else '',
            outcome='failed' if score is None else 'scored',
            failures=task.failed_scorings,
            seconds=round(self._timers.now() - started_at, 3),
        )
        if self._is_closed(batch):
            return
        if score is None:
            self._give_up_task(batch, task, 'scoring-failed')
            return
        task.stage = Stage.done
        batch.result_writer.add(task.make_result(score))

    def _give_up_task(
        self, batch: OpenBatch, task: OpenTask, reason: str
    ) -> None:
        if task.stage is Stage.done:
            return
        task.stage = Stage.done
        self._dependencies.timeline.record(
            'task-given-up',
            task.task_id,
            batch=batch.batch_id,
            reason=reason,
            failed_runs=task.failed_runs,
            failed_scorings=task.failed_scorings,
        )
        batch.result_writer.add(make_given_up_result(task.task_id))


def _record_resumption(
    dependencies: OwnerDependencies,
    batch: OpenBatch,
    task: OpenTask,
    progress: RunProgress,
) -> None:
    """Record how long a task waited for its next run, and for what."""
    waited_seconds = dependencies.timers.now() - task.ended_at
    held_seconds = min(max(task.not_before - task.ended_at, 0), waited_seconds)
    _resume_histogram.labels('held').observe(held_seconds)
    _resume_histogram.labels('no-engine').observe(waited_seconds - held_seconds)
    if waited_seconds < _MIN_LOGGED_WAIT_SECONDS:
        return
    dependencies.timeline.record(
        'task-resumed',
        task.task_id,
        batch=batch.batch_id,
        replica=progress.engine.record.name,
        software=progress.engine.replica.software_id,
        events=len(task.draft.event_texts),
        waited=round(waited_seconds, 3),
        held=round(held_seconds, 3),
    )


def _record_new_start(
    timeline: Timeline, batch: OpenBatch, task: OpenTask, progress: RunProgress
) -> None:
    """Record that a text is dropped for an engine of other software."""
    _new_starts_counter.inc()
    timeline.record(
        'text-started-anew',
        task.task_id,
        batch=batch.batch_id,
        replica=progress.engine.record.name,
        software=progress.engine.replica.software_id,
        written_by=task.draft.software_id,
        events=len(task.draft.event_texts),
    )
