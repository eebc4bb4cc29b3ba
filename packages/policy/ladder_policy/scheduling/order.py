"""
Order in which waiting tasks are started.

References
----------
Graham, "Bounds on multiprocessing timing anomalies", SIAM Journal on Applied
Mathematics, 1969 (longest processing time first).

"""

from collections.abc import Iterable
from dataclasses import dataclass

# A task that takes more than this share of the time of its step starts first.
_LONG_TASK_SHARE = 0.4
# Estimates of lengths are often far too high. The expected time is capped at
# this share of the time of the step, which a task that starts at once can meet.
_MAX_TASK_SHARE = 0.93


@dataclass(frozen=True, slots=True)
class TaskView:
    """
    Properties of a waiting task that decide its place in the order.

    Attributes
    ----------
    key : str
        Identifies the task, and decides between equal tasks.
    group : str
        Group of samples that the task belongs to.
    due : float
        Time in seconds at which the result is due.
    work_seconds : float
        Expected duration of a run on a fast engine.
    step_seconds : float
        Time from the acceptance of the batch until the result is due.
    is_extra : bool
        Whether the trainer does not wait for the group of the task.

    """

    key: str
    group: str
    due: float
    work_seconds: float
    step_seconds: float = 7.5
    is_extra: bool = False

    @property
    def is_long(self) -> bool:
        """Whether the task takes a large part of the time of its step."""
        return self.work_seconds > _LONG_TASK_SHARE * self.step_seconds

    def compute_slack(self, now: float) -> float:
        """Return the seconds that the task can wait and still be in time."""
        max_seconds = _MAX_TASK_SHARE * self.step_seconds
        return self.due - now - min(self.work_seconds, max_seconds)


def order_tasks(tasks: Iterable[TaskView], now: float) -> list[TaskView]:
    """
    Return tasks in the order in which they are to be started.

    Explanation
    -----------
    A group is of use only when it is complete, and its longest text sets the
    earliest time of that. Long tasks are therefore started first. Then groups
    are completed one after another: groups that are due earlier first, then
    those with fewer waiting tasks, and within a group the longest tasks first.
    Groups that can no longer be completed in time follow those that can, since
    their tasks would otherwise make another step late as well. Groups that the
    trainer does not wait for come last.

    Parameters
    ----------
    tasks : iterable of TaskView
        The waiting tasks, in any order.
    now : float
        Current time in seconds, on the clock of the due times.

    Examples
    --------
    >>> tasks = [
    ...     TaskView('late', 'a', due=3, work_seconds=5),
    ...     TaskView('short', 'b', due=10, work_seconds=1),
    ...     TaskView('shorter', 'b', due=10, work_seconds=0.5),
    ...     TaskView('long', 'c', due=11, work_seconds=6),
    ... ]
    >>> [task.key for task in order_tasks(tasks, now=0)]
    ['long', 'short', 'shorter', 'late']

    """
    all_tasks = list(tasks)
    groups: dict[str, list[TaskView]] = {}
    for task in all_tasks:
        groups.setdefault(task.group, []).append(task)
    late = {
        group: min(task.compute_slack(now) for task in members) < 0
        for group, members in groups.items()
    }

    def rank(task: TaskView) -> tuple[object, ...]:
        urgency = (task.is_extra, late[task.group], not task.is_long)
        if task.is_long:
            return (urgency, -task.work_seconds, task.key)
        group_rank = (task.due, len(groups[task.group]), task.group)
        return (urgency, group_rank, -task.work_seconds, task.key)

    return sorted(all_tasks, key=rank)
