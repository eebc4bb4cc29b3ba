"""Tasks and batches as the node that runs them sees them."""

from dataclasses import dataclass, field
from enum import StrEnum

from ladder_clients.replicas import TextEvent
from ladder_core.values import Route
from ladder_node.batches.records import BatchHead, TaskResult, TaskState
from ladder_node.batches.result_writer import ResultWriter
from ladder_node.batches.spec import BatchSpec, TaskSpec


class Stage(StrEnum):
    """How far a task has come."""

    waiting = 'waiting'
    running = 'running'
    scoring = 'scoring'
    done = 'done'


@dataclass(slots=True)
class Draft:
    """
    The text of a task as far as it has been generated.

    Attributes
    ----------
    event_texts : list of str
        Text of each event.
    versions : list of int
        Weight version of each event.
    is_complete : bool
        Whether the text has ended.
    generation : int
        Counts the beginnings of the text.

    """

    event_texts: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    is_complete: bool = False
    restarts: int = 0

    def append(self, event: TextEvent) -> None:
        """Add the next event."""
        self.event_texts.append(event.text)
        self.versions.append(event.version)

    def clear(self) -> None:
        """Drop the text."""
        self.event_texts.clear()
        self.versions.clear()
        self.is_complete = False
        self.restarts += 1

    def satisfies(self, min_version: int) -> bool:
        """Return whether all of the text is new enough."""
        return min(self.versions, default=min_version) >= min_version


@dataclass(slots=True)
class OpenTask:
    """
    One task.

    Attributes
    ----------
    spec : TaskSpec
        What to do.
    draft : Draft
        What there is of the text.
    stage : Stage
        How far it has come.
    failed_runs, failed_scorings : int
        Answers that said that a run or a scoring failed.
    not_before : float
        Time in seconds before which it is not sent again.
    began_at : float
        Time in seconds at which it first began to run.
    tokens_per_event : int
        Tokens of one event of its text.
    moves : int
        How often it went on at a quicker engine.

    """

    spec: TaskSpec
    draft: Draft = field(default_factory=Draft)
    stage: Stage = Stage.waiting
    failed_runs: int = 0
    failed_scorings: int = 0
    not_before: float = 0
    began_at: float = 0
    tokens_per_event: int = 1
    moves: int = 0

    @property
    def task_id(self) -> str:
        """Identifies the task."""
        return self.spec.task_id

    def note_failed_scoring(self) -> None:
        """Count an answer that said that a scoring failed."""
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
    One open batch.

    Attributes
    ----------
    spec : BatchSpec
        What was submitted.
    head : BatchHead
        Its acceptance.
    due : float
        Time in seconds at which its results are wanted.
    expires : float
        Time in seconds after which its tasks are given up.
    ledger : Ledger
        Takes its results.
    tasks : dict of str to TaskWork
        Its tasks by id.
    groups : dict of str to list of TaskWork
        Its tasks by group, in the order of submission.

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
        """Return what identifies one of its tasks among all batches."""
        return f'{self.batch_id}/{task.task_id}'


def make_open_batch(
    spec: BatchSpec,
    head: BatchHead,
    result_writer: ResultWriter,
    now: float,
    age: float,
) -> OpenBatch:
    """
    Return the work of a batch.

    Parameters
    ----------
    spec : BatchSpec
        What was submitted.
    head : BatchHead
        Its acceptance.
    ledger : Ledger
        Takes its results.
    now, age : float
        The present time, and seconds since the acceptance.

    """
    tasks = {task.task_id: OpenTask(task) for task in spec.tasks}
    groups: dict[str, list[OpenTask]] = {}
    for task in tasks.values():
        groups.setdefault(task.spec.group, []).append(task)
    began = now - age
    return OpenBatch(
        spec,
        head,
        began + head.step_seconds,
        began + head.retention_seconds,
        result_writer,
        tasks,
        groups,
    )


def needs_one_version(route: Route | None) -> bool:
    """Return whether one version must make a whole text of a route."""
    return route is not None and route.needs_one_version
