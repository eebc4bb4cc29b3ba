"""Runs of single tasks on engines."""

from prometheus_client import Counter, Histogram

from ladder_clients.replicas import ReplicaClient, TaskRequest, TextEvent
from ladder_core.errors import (
    AnswerCorruptError,
    AnswerEndlessError,
    LadderError,
    PathLostError,
    RunFailedError,
    TargetFullError,
    TargetLimitedError,
    TargetLostError,
    TargetUnavailableError,
    TaskRejectedError,
)
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.batches.engines import TrackedEngine
from ladder_node.batches.open_batch import OpenBatch, OpenTask
from ladder_node.quarantine import CrashDetector

# An engine that refused a task because it was full gets none for this time.
_FULL_PAUSE_SECONDS = 0.3

_runs_counter = Counter(
    'ladder_task_runs_total',
    'Runs of tasks on engines, by what came of them',
    ('outcome',),
)
_first_event_histogram = Histogram(
    'ladder_task_first_event_seconds',
    'Time from the start of a run to its first event',
)


class RunProgress:
    """
    Progress of one run.

    Attributes
    ----------
    engine : TrackedEngine
        Engine on which the task runs.
    priority : int
        Priority of the task among requests for a scarce engine.
    starts_anew : bool
        Whether the text so far is dropped, as other software wrote it.
    started_at, last_at : float
        Times in seconds of the start of the run and of its last event.
    events : int
        Number of events that this run has produced.

    """

    def __init__(
        self,
        engine: TrackedEngine,
        now: float,
        priority: int = 0,
        *,
        starts_anew: bool = False,
    ) -> None:
        self.engine = engine
        self.starts_anew = starts_anew
        self.priority = priority
        self.started_at = now
        self.last_at = now
        self.events = 0

    def record_event(self, now: float) -> float:
        """Count an event; return the seconds since the previous one."""
        gap = now - self.last_at
        self.last_at = now
        self.events += 1
        return gap


class TaskRunner:
    """
    Generate texts on engines.

    Parameters
    ----------
    client : ReplicaClient
        Sends the tasks and streams the events of their texts.
    detector : CrashDetector
        Logs crashes of engines with the tasks that ran there.
    timers : TimerService
        Clock that events are timed with.
    timeline : Timeline
        Records the end of each run.

    """

    def __init__(
        self,
        client: ReplicaClient,
        detector: CrashDetector,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._client = client
        self._detector = detector
        self._timers = timers
        self._timeline = timeline

    async def run(
        self,
        batch: OpenBatch,
        task: OpenTask,
        progress: RunProgress,
    ) -> None:
        """
        Run a task once, and append the events to its draft.

        Errors other than a rejection end the run and are recorded with the
        task or with the engine.

        Raises
        ------
        TaskRejectedError
            The engine rejected the task, so no run of it can succeed.

        """
        first = len(task.draft.event_texts)
        outcome, reason = 'cancelled', ''
        replica = progress.engine.replica
        try:
            async with self._detector.watch(task.task_id, replica):
                await self._generate(batch, task, progress)
            outcome = 'completed'
        except TaskRejectedError:
            outcome = 'rejected'
            raise
        except LadderError as error:
            outcome, reason = error.kind, error.message
            self._handle_error(task, progress, error)
        finally:
            self._record_end(batch, task, progress, outcome, first + 1, reason)

    def _record_end(
        self,
        batch: OpenBatch,
        task: OpenTask,
        progress: RunProgress,
        outcome: str,
        first_event: int,
        reason: str,
    ) -> None:
        _runs_counter.labels(outcome).inc()
        self._timeline.record(
            'task-run-ended',
            task.task_id,
            batch=batch.batch_id,
            replica=progress.engine.record.name,
            software=progress.engine.replica.software_id,
            outcome=outcome,
            first_event=first_event,
            events=progress.events,
            versions=sorted(set(task.draft.versions)),
            seconds=round(self._timers.now() - progress.started_at, 3),
            reason=reason,
        )

    async def _generate(
        self,
        batch: OpenBatch,
        task: OpenTask,
        progress: RunProgress,
    ) -> None:
        request = TaskRequest(
            task.task_id,
            task.spec.target,
            task.spec.headers,
            task.spec.body,
            len(task.draft.event_texts),
            progress.priority,
            batch.spec.organisation,
        )
        replica = progress.engine.replica
        async for event in self._client.generate(replica, request):
            _check_process(progress, task, request.last_event)
            _check_event(event, task, batch)
            gap = progress.record_event(self._timers.now())
            if progress.events == 1:
                progress.engine.record_begin(task.task_id)
                task.run_pause.record_progress()
                _first_event_histogram.observe(gap)
            else:
                now = self._timers.now()
                progress.engine.observe_token_time(
                    gap / task.tokens_per_event, now
                )
            task.draft.append(event, replica.software_id)
        task.draft.is_complete = True
        elapsed_seconds = progress.last_at - progress.started_at
        progress.engine.record.record_success(elapsed_seconds, progress.last_at)

    def _handle_error(
        self,
        task: OpenTask,
        progress: RunProgress,
        error: LadderError,
    ) -> None:
        now = self._timers.now()
        record = progress.engine.record
        if isinstance(error, RunFailedError):
            task.failed_runs += 1
            record.record_failed_response(now)
        elif isinstance(error, TargetFullError):
            record.pause(now + _FULL_PAUSE_SECONDS)
        elif not isinstance(error, TargetLimitedError | PathLostError):
            if isinstance(error, TargetLostError) and not progress.events:
                task.not_before = now + task.run_pause.record_loss()
            is_unreachable = isinstance(
                error, TargetUnavailableError | AnswerEndlessError
            )
            record.record_failure(now, is_unreachable=is_unreachable)


def _check_process(
    progress: RunProgress, task: OpenTask, last_event: int
) -> None:
    """
    Drop the events of a resumed run if another process has the name by now.

    That process may have answered, and its software may be another.
    """
    if last_event and progress.engine.record.has_ended:
        task.draft.truncate(last_event)
        raise AnswerCorruptError(
            f'another process has the name of {progress.engine.record.name}',
            remedy='resume the text after its last sure event',
        )


def _check_event(event: TextEvent, task: OpenTask, batch: OpenBatch) -> None:
    """Raise an error for an event that does not belong to the text."""
    expected = len(task.draft.event_texts) + 1
    if task.spec.max_tokens and event.number > task.spec.max_tokens:
        raise AnswerEndlessError(
            f'event {event.number} is beyond {task.spec.max_tokens} tokens',
            remedy='resume the text on another engine',
        )
    if event.number != expected:
        raise AnswerCorruptError(
            f'event {event.number} came in place of {expected}',
            remedy='resume the text after its last whole event',
        )
    if event.version < batch.spec.min_version:
        raise AnswerCorruptError(
            f'version {event.version} is older than'
            f' {batch.spec.min_version}, which the batch allows',
            remedy='run the task on an engine with newer weights',
        )
