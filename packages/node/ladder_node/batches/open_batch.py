"""State of open batches and their tasks on the node that runs them."""

from dataclasses import dataclass, field
from enum import StrEnum

from ladder_clients.replicas import TextEvent
from ladder_core.values import Route
from ladder_node.batches.records import BatchHead, TaskResult, TaskState
from ladder_node.batches.result_writer import ResultWriter
from ladder_node.batches.spec import BatchSpec, TaskSpec
from ladder_policy.scheduling import RestartPause


class Stage(StrEnum):
    """Stage of a task."""

    waiting = 'waiting'
    running = 'running'
    failed = 'failed'
    scoring = 'scoring'
    done = 'done'


@dataclass(slots=True)
class Draft:
    """
    The text of a task as far as it has been generated.

    Attributes
    ----------
    event_texts : list of str
        Text of each event, in order.
    versions : list of int
        Weight version that produced each event.
    software_id : str
        Identifies the software of the engines that wrote the events; empty if
        it is not known.
    is_complete : bool
        Whether the last event of the text has been received.
    restarts : int
        Number of times that the text was dropped and started again.

    """

    event_texts: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    software_id: str = ''
    is_complete: bool = False
    restarts: int = 0

    def append(self, event: TextEvent, software_id: str) -> None:
        """Append the next event, which an engine with some software wrote."""
        self.software_id = software_id
        self.event_texts.append(event.text)
        self.versions.append(event.version)

    def truncate(self, events: int) -> None:
        """Drop all events after a number of them."""
        del self.event_texts[events:]
        del self.versions[events:]
        # Saved pieces with the dropped events belong to another lineage.
        self.restarts += 1

    def clear(self) -> None:
        """Drop the text, so that it is generated from the start again."""
        self.event_texts.clear()
        self.versions.clear()
        self.software_id = ''
        self.is_complete = False
        self.restarts += 1

    def fits_software(self, software_id: str) -> bool:
        """Return whether the text may go on at some software."""
        if not self.event_texts:
            return True
        return bool(self.software_id) and self.software_id == software_id

    def satisfies(self, min_version: int) -> bool:
        """Return whether no event stems from an older weight version."""
        return min(self.versions, default=min_version) >= min_version


@dataclass(slots=True)
class OpenTask:
    """
    State of one task of an open batch.

    Attributes
    ----------
    spec : TaskSpec
        The task as the trainer submitted it.
    draft : Draft
        The text as far as it has been generated.
    stage : Stage
        Whether the task waits, runs, has failed as often as its route allows
        by what this node knows, is being scored or is done.
    failed_runs, failed_scorings : int
        Number of responses that reported a failed run or a failed scoring.
    not_before : float
        Time in seconds before which the task is not started again.
    started_at : float
        Time in seconds of the first start; zero before that.
    ended_at : float
        Time in seconds of the end of the last run; zero before that.
    tokens_per_event : int
        Number of tokens in one event of the text.
    stranded_at : float or None
        Time in seconds since which only engines of other software have had
        room for the text; None if that is not so.
    moves : int
        Number of times that the task moved to a faster engine.
    run_pause, scoring_pause : RestartPause
        Pauses between runs, and between scoring calls, that are lost.

    """

    spec: TaskSpec
    draft: Draft = field(default_factory=Draft)
    stage: Stage = Stage.waiting
    failed_runs: int = 0
    failed_scorings: int = 0
    not_before: float = 0
    started_at: float = 0
    ended_at: float = 0
    stranded_at: float | None = None
    tokens_per_event: int = 1
    moves: int = 0
    run_pause: RestartPause = field(default_factory=RestartPause)
    scoring_pause: RestartPause = field(default_factory=RestartPause)

    @property
    def task_id(self) -> str:
        """Identifies the task."""
        return self.spec.task_id

    def count_failed_scoring(self) -> None:
        """Count a response that reported a failed scoring."""
        self.failed_scorings += 1

    def make_result(self, score: str) -> TaskResult:
        """Return the result of a complete and scored text."""
        return TaskResult(
            self.task_id,
            TaskState.completed,
            '\n'.join(self.draft.event_texts),
            tuple(sorted(set(self.draft.versions))),
            score,
        )


@dataclass(slots=True)
class OpenBatch:
    """
    State of one open batch.

    Attributes
    ----------
    spec : BatchSpec
        The batch as the trainer submitted it.
    head : BatchHead
        Row of the acceptance, which holds the time limits.
    due : float
        Time in seconds by which the trainer needs the results.
    expires : float
        Time in seconds after which unfinished tasks are given up.
    result_writer : ResultWriter
        Writes the results of the batch.
    tasks : dict of str to OpenTask
        The tasks by task id.
    groups : dict of str to list of OpenTask
        The tasks by group, in the order of submission.

    """

    spec: BatchSpec
    head: BatchHead
    due: float
    expires: float
    result_writer: ResultWriter
    tasks: dict[str, OpenTask]
    groups: dict[str, list[OpenTask]]

    @property
    def batch_id(self) -> str:
        """Identifies the batch."""
        return self.spec.batch_id

    def make_key(self, task: OpenTask) -> str:
        """Return a key that identifies a task among those of all batches."""
        return f'{self.batch_id}/{task.task_id}'


def make_open_batch(
    spec: BatchSpec,
    head: BatchHead,
    result_writer: ResultWriter,
    now: float,
    age_seconds: float,
) -> OpenBatch:
    """
    Return the initial state of a batch, with all tasks waiting.

    Parameters
    ----------
    spec : BatchSpec
        The batch as the trainer submitted it.
    head : BatchHead
        Row of the acceptance, which holds the time limits.
    result_writer : ResultWriter
        Writes the results of the batch.
    now : float
        Present time in seconds.
    age_seconds : float
        Seconds since the batch was accepted.

    """
    tasks = {task.task_id: OpenTask(task) for task in spec.tasks}
    groups: dict[str, list[OpenTask]] = {}
    for task in tasks.values():
        groups.setdefault(task.spec.group, []).append(task)
    accepted_at = now - age_seconds
    return OpenBatch(
        spec,
        head,
        accepted_at + head.step_seconds,
        accepted_at + head.retention_seconds,
        result_writer,
        tasks,
        groups,
    )


def needs_one_version(route: Route | None) -> bool:
    """Return whether a route requires one weight version for a whole text."""
    return route is not None and route.needs_one_version
