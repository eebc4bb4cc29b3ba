"""Registry of the open batches of the node that runs them."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence

from ladder_core.timers import TimerService
from ladder_node.batches.draft_cache import DraftCache
from ladder_node.batches.open_batch import (
    Draft,
    OpenBatch,
    OpenTask,
    Stage,
    make_open_batch,
)
from ladder_node.batches.records import BatchHead
from ladder_node.batches.result_writer import ResultWriter
from ladder_node.batches.spec import BatchSpec
from ladder_policy.scheduling import TaskView

# Results that become readable this long after the due time still count.
_DUE_TOLERANCE_SECONDS = 0.5
# Estimated length of a text if the trainer gives no estimate.
_DEFAULT_EXPECTED_TOKENS = 600
# A text that is longer than estimated is expected to grow by this share of its
# present length, because text lengths have a heavy tail.
_OVERRUN_SHARE = 0.7
_MAX_REMEMBERED_IDS = 4096


class BatchRegistry:
    """
    Hold the open batches and find their waiting tasks.

    Parameters
    ----------
    timers : TimerService
        Clock that the due times of batches refer to.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._batches: dict[str, OpenBatch] = {}
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._draft_cache = DraftCache()
        self._seen_groups: OrderedDict[str, str] = OrderedDict()

    @property
    def batches(self) -> Sequence[OpenBatch]:
        """The open batches."""
        return tuple(self._batches.values())

    def find(self, batch_id: str) -> OpenBatch | None:
        """Return an open batch, or None."""
        return self._batches.get(batch_id)

    def is_ended(self, batch_id: str) -> bool:
        """Return whether this node knows that a batch was ended."""
        return batch_id in self._ended

    def add(
        self,
        spec: BatchSpec,
        head: BatchHead,
        result_writer: ResultWriter,
        age_seconds: float,
        durable_task_ids: Iterable[str],
    ) -> OpenBatch:
        """
        Open a batch.

        Its tasks take over the cached drafts of earlier batches.

        Parameters
        ----------
        spec : BatchSpec
            The batch as the trainer submitted it.
        head : BatchHead
            Row of the acceptance, which holds the time limits.
        result_writer : ResultWriter
            Writes the results of the batch.
        age_seconds : float
            Seconds since the batch was accepted.
        durable_task_ids : iterable of str
            Tasks whose results are already durable; these are not run again.

        """
        batch = make_open_batch(
            spec,
            head,
            result_writer,
            self._timers.now(),
            age_seconds,
        )
        for task_id in durable_task_ids:
            batch.tasks[task_id].stage = Stage.done
        for task in batch.tasks.values():
            draft = self._draft_cache.take(
                _make_draft_key(task.task_id, spec.organisation),
                spec.min_version,
            )
            if draft is not None:
                task.draft = draft
        self._remember_groups(batch)
        self._batches[spec.batch_id] = batch
        return batch

    def end(self, batch_id: str) -> OpenBatch | None:
        """
        Close a batch that its trainer has ended.

        The drafts of unfinished groups are cached, because the trainer may
        submit these groups again in a later batch.

        Returns
        -------
        OpenBatch or None
            The batch; None if it was not open.

        """
        self._ended[batch_id] = None
        if len(self._ended) > _MAX_REMEMBERED_IDS:
            self._ended.popitem(last=False)
        batch = self._batches.pop(batch_id, None)
        if batch is not None:
            for task in _list_unfinished(batch):
                self._draft_cache.put(
                    _make_draft_key(task.task_id, batch.spec.organisation),
                    task.draft,
                )
        return batch

    def keep_drafts(
        self, drafts: Mapping[str, Draft], organisation: str = ''
    ) -> None:
        """
        Cache drafts for batches that are opened later.

        Parameters
        ----------
        drafts : mapping of str to Draft
            Drafts by task.
        organisation : str, optional
            Organisation that submitted the tasks. The drafts are used for no
            other one, even if its tasks have the same ids.

        """
        for task_id, draft in drafts.items():
            self._draft_cache.put(_make_draft_key(task_id, organisation), draft)

    def close(self, batch_id: str) -> None:
        """Close a batch whose results are all durable."""
        self._batches.pop(batch_id, None)

    def list_waiting(self, now: float) -> list[tuple[OpenBatch, OpenTask]]:
        """Return the tasks that may be started at the time `now`."""
        return [
            (batch, task)
            for batch in self._batches.values()
            for task in batch.tasks.values()
            if task.stage is Stage.waiting and now >= task.not_before
        ]

    def list_views(
        self,
        waiting: Iterable[tuple[OpenBatch, OpenTask]],
        token_seconds: float,
    ) -> list[TaskView]:
        """
        Return the properties of tasks that decide on their order.

        Parameters
        ----------
        waiting : iterable of (OpenBatch, OpenTask)
            Tasks that wait for a run, with their batches.
        token_seconds : float
            Seconds per token of the fastest engine, from which the remaining
            time of each task is estimated.

        """
        extra = {
            batch.batch_id: self._find_extra_groups(batch)
            for batch in self._batches.values()
        }
        return [
            TaskView(
                key=batch.make_key(task),
                group=task.spec.group,
                due=batch.due + _DUE_TOLERANCE_SECONDS,
                work_seconds=estimate_tokens(task) * token_seconds,
                step_seconds=batch.head.step_seconds,
                is_extra=task.spec.group in extra[batch.batch_id],
            )
            for batch, task in waiting
        ]

    def _find_extra_groups(self, batch: OpenBatch) -> set[str]:
        """
        Return the groups beyond the number that the trainer waits for.

        Groups that an earlier batch already contained rank before new ones,
        and groups with less remaining work rank before the others.
        """
        if batch.spec.target_groups >= len(batch.groups):
            return set()

        def rank(group: str) -> tuple[bool, float]:
            left = max(
                0 if task.stage is Stage.done else estimate_tokens(task)
                for task in batch.groups[group]
            )
            is_new = self._seen_groups.get(group) == batch.batch_id
            return (is_new, left)

        ranked = sorted(batch.groups, key=rank)
        return set(ranked[batch.spec.target_groups :])

    def _remember_groups(self, batch: OpenBatch) -> None:
        for group in batch.groups:
            self._seen_groups.setdefault(group, batch.batch_id)
        while len(self._seen_groups) > _MAX_REMEMBERED_IDS:
            self._seen_groups.popitem(last=False)


def estimate_tokens(task: OpenTask) -> float:
    """Return the estimated number of tokens that are still to be generated."""
    if task.draft.is_complete:
        return 0
    expected = task.spec.expected_tokens or _DEFAULT_EXPECTED_TOKENS
    if task.spec.max_tokens:
        expected = min(expected, task.spec.max_tokens)
    made = len(task.draft.event_texts) * task.tokens_per_event
    return max(expected - made, made * _OVERRUN_SHARE)


def _make_draft_key(task_id: str, organisation: str) -> str:
    return f'{organisation}/{task_id}' if organisation else task_id


def _list_unfinished(batch: OpenBatch) -> list[OpenTask]:
    return [
        task
        for group in batch.groups.values()
        if any(member.stage is not Stage.done for member in group)
        for task in group
    ]
