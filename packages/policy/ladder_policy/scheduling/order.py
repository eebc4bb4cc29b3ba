"""
The order in which waiting tasks get slots.

References
----------
Graham, "Bounds on multiprocessing timing anomalies", SIAM Journal on Applied
Mathematics, 1969 (longest processing time first).

"""

from collections.abc import Iterable
from dataclasses import dataclass

# A text that takes this share of a step's time must start at once.
_LONG_TASK_SHARE = 0.4
# Estimates of lengths are often far too high; none is taken for more than
# what a task that starts at once can do.
_MAX_TASK_SHARE = 0.93


@dataclass(frozen=True, slots=True)
class TaskView:
    """
    A waiting task.

    Attributes
    ----------
    key : str
        Identifies the task.
    group : str
        Its group.
    due : float
        Time in seconds at which its result is wanted.
    work_seconds : float
        Expected time of a run on a quick engine.
    step_seconds : float
        Time from the acceptance of its batch until it is due.
    is_extra : bool
        Whether its group is one that the trainer does not wait for.

    """

    key: str
    group: str
    due: float
    work_seconds: float
    step_seconds: float = 7.5
    is_extra: bool = False

    @property
    def is_long(self) -> bool:
        """Whether it takes a large part of the step."""
        return self.work_seconds > _LONG_TASK_SHARE * self.step_seconds

    def compute_slack(self, now: float) -> float:
        """Return the seconds that it can still wait."""
        most = _MAX_TASK_SHARE * self.step_seconds
        return self.due - now - min(self.work_seconds, most)


def order_tasks(tasks: Iterable[TaskView], now: float) -> list[TaskView]:
    """
    Return tasks in the order in which they shall start.

    Explanation
    -----------
    A group counts when it is whole, and its longest text cannot be made
    faster. So long texts start first; then groups are completed one after
    another, the step that is due first and the group with the fewest tasks
    left before others, and the longest tasks first within a group. Groups
    that can no longer be in time follow those that can, since their slots
    would make another step late as well. Groups beyond those that the
    trainer waits for come last.

    Parameters
    ----------
    tasks : iterable of TaskView
        The waiting tasks.
    now : float
        Seconds.

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
    found = list(tasks)
    groups: dict[str, list[TaskView]] = {}
    for task in found:
        groups.setdefault(task.group, []).append(task)
    late = {
        group: min(task.compute_slack(now) for task in members) < 0
        for group, members in groups.items()
    }

    def rank(task: TaskView) -> tuple[object, ...]:
        standing = (task.is_extra, late[task.group], not task.is_long)
        if task.is_long:
            return (standing, -task.work_seconds, task.key)
        place = (task.due, len(groups[task.group]), task.group)
        return (standing, place, -task.work_seconds, task.key)

    return sorted(found, key=rank)
