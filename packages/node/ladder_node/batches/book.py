"""The open batches of a tenure."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence

from ladder_core.timers import TimerService
from ladder_node.batches.archive import DraftArchive
from ladder_node.batches.ledger import Ledger
from ladder_node.batches.records import BatchHead
from ladder_node.batches.spec import BatchSpec
from ladder_node.batches.work import (
    BatchWork,
    Draft,
    Stage,
    TaskWork,
    make_batch_work,
)
from ladder_policy.rollouts import TaskView

# Results may be listed a little after they are wanted and still count.
_DUE_SLACK_SECONDS = 0.5
# Estimate for a task whose trainer gives none.
_USUAL_TOKENS = 600
# What a text that is longer than expected still needs, as a share of what
# there is: lengths have a heavy tail.
_OVERDUE_SHARE = 0.7
_KNOWN_GROUPS = 4096


class BatchBook:
    """
    Keep the open batches and tell which tasks wait.

    Parameters
    ----------
    timers : TimerService
        Source of time.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._batches: dict[str, BatchWork] = {}
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._archive = DraftArchive()
        self._seen_groups: OrderedDict[str, str] = OrderedDict()

    @property
    def batches(self) -> Sequence[BatchWork]:
        """The open batches."""
        return tuple(self._batches.values())

    def find(self, batch_id: str) -> BatchWork | None:
        """Return an open batch, or None."""
        return self._batches.get(batch_id)

    def is_ended(self, batch_id: str) -> bool:
        """Return whether the end of a batch is known."""
        return batch_id in self._ended

    def add(
        self,
        spec: BatchSpec,
        head: BatchHead,
        ledger: Ledger,
        age: float,
        listed: Iterable[str],
    ) -> BatchWork:
        """
        Open a batch.

        Parameters
        ----------
        spec : BatchSpec
            What was submitted.
        head : BatchHead
            Its acceptance.
        ledger : Ledger
            Takes its results.
        age : float
            Seconds since the acceptance.
        listed : iterable of str
            Tasks whose results are durable.

        """
        batch = make_batch_work(
            spec,
            head,
            ledger,
            self._timers.now(),
            age,
        )
        for task_id in listed:
            batch.tasks[task_id].stage = Stage.done
        for work in batch.tasks.values():
            draft = self._archive.take(work.task_id, spec.min_version)
            if draft is not None:
                work.draft = draft
        self._note_groups(batch)
        self._batches[spec.batch_id] = batch
        return batch

    def end(self, batch_id: str) -> BatchWork | None:
        """
        Close a batch whose trainer has ended it.

        Returns
        -------
        BatchWork or None
            The batch if it was open. The texts of its unfinished groups are
            kept, since those may come again.

        """
        self._ended[batch_id] = None
        if len(self._ended) > _KNOWN_GROUPS:
            self._ended.popitem(last=False)
        batch = self._batches.pop(batch_id, None)
        if batch is not None:
            for work in _list_unfinished(batch):
                self._archive.put(work.task_id, work.draft)
        return batch

    def keep(self, drafts: Mapping[str, Draft]) -> None:
        """Keep texts by their tasks, for batches that are opened later."""
        for task_id, draft in drafts.items():
            self._archive.put(task_id, draft)

    def close(self, batch_id: str) -> None:
        """Close a batch whose results are all durable."""
        self._batches.pop(batch_id, None)

    def list_waiting(self, now: float) -> list[tuple[BatchWork, TaskWork]]:
        """Return the tasks that wait for a run."""
        return [
            (batch, work)
            for batch in self._batches.values()
            for work in batch.tasks.values()
            if work.stage is Stage.waiting and now >= work.not_before
        ]

    def list_views(
        self,
        waiting: Iterable[tuple[BatchWork, TaskWork]],
        token_seconds: float,
    ) -> list[TaskView]:
        """
        Return what the order of tasks looks at.

        Parameters
        ----------
        waiting : iterable of (BatchWork, TaskWork)
            Tasks that wait.
        token_seconds : float
            Time that the quickest engine needs for a token.

        """
        extra = {
            batch.batch_id: self._find_extra_groups(batch)
            for batch in self._batches.values()
        }
        return [
            TaskView(
                key=batch.make_key(work),
                group=work.spec.group,
                due=batch.due + _DUE_SLACK_SECONDS,
                work_seconds=estimate_tokens(work) * token_seconds,
                step_seconds=batch.head.step_seconds,
                is_extra=work.spec.group in extra[batch.batch_id],
            )
            for batch, work in waiting
        ]

    def _find_extra_groups(self, batch: BatchWork) -> set[str]:
        """Return the groups that the trainer need not wait for."""
        if batch.spec.target_groups >= len(batch.groups):
            return set()

        def rank(group: str) -> tuple[bool, float]:
            left = max(
                0 if work.stage is Stage.done else estimate_tokens(work)
                for work in batch.groups[group]
            )
            is_new = self._seen_groups.get(group) == batch.batch_id
            return (is_new, left)

        ranked = sorted(batch.groups, key=rank)
        return set(ranked[batch.spec.target_groups :])

    def _note_groups(self, batch: BatchWork) -> None:
        for group in batch.groups:
            self._seen_groups.setdefault(group, batch.batch_id)
        while len(self._seen_groups) > _KNOWN_GROUPS:
            self._seen_groups.popitem(last=False)


def estimate_tokens(work: TaskWork) -> float:
    """Return the tokens that a task's text still needs, as an estimate."""
    if work.draft.is_complete:
        return 0
    expected = work.spec.expected_tokens or _USUAL_TOKENS
    if work.spec.max_tokens:
        expected = min(expected, work.spec.max_tokens)
    made = len(work.draft.parts) * work.tokens_per_event
    return max(expected - made, made * _OVERDUE_SHARE)


def _list_unfinished(batch: BatchWork) -> list[TaskWork]:
    return [
        work
        for group in batch.groups.values()
        if any(task.stage is not Stage.done for task in group)
        for work in group
    ]
