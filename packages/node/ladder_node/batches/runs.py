"""Start, stop and follow up the runs of tasks."""

import asyncio
from collections.abc import Callable

from prometheus_client import Histogram

from ladder_core.errors import TaskRejectedError
from ladder_node.batches.book import BatchBook
from ladder_node.batches.crew import Crew
from ladder_node.batches.dependencies import OwnerDependencies
from ladder_node.batches.dispatch import Run, TaskDispatch
from ladder_node.batches.ledger import make_given_up
from ladder_node.batches.runner import RunWatch, TaskRunner
from ladder_node.batches.scoring import TaskScorer
from ladder_node.batches.work import BatchWork, Stage, TaskWork

_wait_histogram = Histogram(
    'ladder_task_wait_seconds',
    'Time from the acceptance of a batch to the first run of a task',
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)


class TaskRuns:
    """
    The runs of all open batches.

    Parameters
    ----------
    parts : OwnerDependencies
        What the work needs.
    book : BatchBook
        The open batches.
    dispatch : TaskDispatch
        Knows the routes of batches.
    crew : Crew
        Takes the tasks.
    wake : callable
        Called when a slot has become free.

    """

    def __init__(
        self,
        parts: OwnerDependencies,
        book: BatchBook,
        dispatch: TaskDispatch,
        crew: Crew,
        wake: Callable[[], None],
    ) -> None:
        self._parts = parts
        self._timers = parts.timers
        self._book = book
        self._dispatch = dispatch
        self._crew = crew
        self._wake = wake
        self._runner = TaskRunner(parts.client, parts.timers, parts.timeline)
        self._scorer = TaskScorer(parts.forwarder, parts.routes, parts.timers)
        self._runs: dict[str, Run] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def active(self) -> tuple[Run, ...]:
        """The runs that go on."""
        return tuple(self._runs.values())

    def resume_scoring(self, batch: BatchWork) -> None:
        """Score the texts of a new batch that are already complete."""
        for work in batch.tasks.values():
            if work.stage is Stage.waiting and work.draft.is_complete:
                self._begin_scoring(batch, work)

    def start(
        self,
        batch: BatchWork,
        work: TaskWork,
        watch: RunWatch,
    ) -> None:
        """Start a run of a task on an engine."""
        work.stage = Stage.running
        if not work.began_at:
            work.began_at = self._timers.now()
            opened = batch.due - batch.head.step_seconds
            _wait_histogram.observe(max(work.began_at - opened, 0))
        if not work.draft.fits(batch.spec.min_version):
            work.draft.clear()
        key = batch.make_key(work)
        self._runs[key] = (batch, work, watch)
        task = self._crew.spawn(self._run(batch, work, watch))
        self._tasks[key] = task
        # A task that is cancelled before its first step runs none of its
        # code, so its slot is given back from outside.
        task.add_done_callback(
            lambda ended: self._finish(batch, work, watch, ended),
        )

    def cancel(self, batch: BatchWork, work: TaskWork) -> None:
        """Stop the run or the scoring of a task; its text is kept."""
        task = self._tasks.get(batch.make_key(work))
        if task is not None:
            task.cancel()

    def cancel_batch(self, batch: BatchWork) -> None:
        """Stop all runs and scorings of a batch."""
        for work in batch.tasks.values():
            self.cancel(batch, work)

    def move_stuck(self) -> None:
        """Stop the runs that should go on elsewhere."""
        for run, reason in self._dispatch.list_stuck(self.active):
            batch, work, watch = run
            self._parts.timeline.record(
                'task-moved',
                work.task_id,
                batch=batch.batch_id,
                reason=reason,
                replica=watch.engine.record.name,
                events=len(work.draft.parts),
            )
            if reason == 'slow':
                work.moves += 1
            self.cancel(batch, work)

    def give_up_expired(self) -> None:
        """Give up the tasks whose time is over."""
        now = self._timers.now()
        for batch in self._book.batches:
            if now < batch.expires:
                continue
            for work in batch.tasks.values():
                self.cancel(batch, work)
                self._give_up(batch, work, 'expired')

    async def _run(
        self,
        batch: BatchWork,
        work: TaskWork,
        watch: RunWatch,
    ) -> None:
        service = self._parts.routes.require().services.get(
            watch.engine.replica.service,
        )
        work.tokens_per_event = service.event_tokens if service else 1
        try:
            await self._runner.run(batch, work, watch)
        except TaskRejectedError:
            self._give_up(batch, work, 'rejected')

    def _finish(
        self,
        batch: BatchWork,
        work: TaskWork,
        watch: RunWatch,
        ended: asyncio.Task[None],
    ) -> None:
        """Give the slot of a run back, and decide what follows."""
        watch.engine.end(work.task_id)
        key = batch.make_key(work)
        self._runs.pop(key, None)
        self._tasks.pop(key, None)
        if work.stage is Stage.running:
            work.stage = Stage.waiting
        self._wake()
        if ended.cancelled() or ended.exception() is not None:
            return
        if work.stage is Stage.waiting and not self._is_closed(batch):
            self._go_on(batch, work)

    def _is_closed(self, batch: BatchWork) -> bool:
        return self._book.find(batch.batch_id) is None

    def _go_on(self, batch: BatchWork, work: TaskWork) -> None:
        """Decide what follows a run that has ended by itself."""
        if work.draft.is_complete:
            self._begin_scoring(batch, work)
            return
        route = self._dispatch.find_route(batch)
        if route is None:
            self._give_up(batch, work, 'route-gone')
        elif work.failed_runs >= route.max_attempts:
            self._give_up(batch, work, 'failed')

    def _begin_scoring(self, batch: BatchWork, work: TaskWork) -> None:
        work.stage = Stage.scoring
        key = batch.make_key(work)
        task = self._crew.spawn(self._score(batch, work))
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    async def _score(self, batch: BatchWork, work: TaskWork) -> None:
        began = self._timers.now()
        score = await self._scorer.score(work)
        scorer = work.spec.scorer
        self._parts.timeline.record(
            'task-scored',
            work.task_id,
            batch=batch.batch_id,
            call=scorer.call_id if scorer else '',
            outcome='failed' if score is None else 'scored',
            failures=work.failed_scorings,
            seconds=round(self._timers.now() - began, 3),
        )
        if self._is_closed(batch):
            return
        if score is None:
            self._give_up(batch, work, 'scoring-failed')
            return
        work.stage = Stage.done
        batch.ledger.add(work.make_result(score))

    def _give_up(self, batch: BatchWork, work: TaskWork, reason: str) -> None:
        if work.stage is Stage.done:
            return
        work.stage = Stage.done
        self._parts.timeline.record(
            'task-given-up',
            work.task_id,
            batch=batch.batch_id,
            reason=reason,
            failed_runs=work.failed_runs,
            failed_scorings=work.failed_scorings,
        )
        batch.ledger.add(make_given_up(work.task_id))
