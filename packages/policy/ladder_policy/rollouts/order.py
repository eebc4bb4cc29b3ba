"""
The order in which waiting tasks get slots.

References
----------
Dertouzos and Mok, "Multiprocessor online scheduling of hard-real-time
tasks", IEEE Transactions on Software Engineering, 1989 (least laxity first).

"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TaskView:
    """
    A waiting task.

    Attributes
    ----------
    key : str
        Identifies the task.
    due : float
        Time in seconds at which its result is wanted.
    work_seconds : float
        Expected time of a run on a quick engine.
    is_extra : bool
        Whether its group is one that the trainer does not wait for.

    """

    key: str
    due: float
    work_seconds: float
    is_extra: bool = False


def order_tasks(tasks: Iterable[TaskView], now: float) -> list[TaskView]:
    """
    Return tasks with the least slack first.

    Explanation
    -----------
    A step ends with its last task, and a long text cannot be made faster, so
    long tasks start before short ones of the same step. Tasks that can no
    longer be ready in time follow those that can: a slot that they take
    would make another step late as well. Tasks of groups beyond those that
    the trainer waits for come last.

    Parameters
    ----------
    tasks : iterable of TaskView
        The waiting tasks.
    now : float
        Seconds.

    Examples
    --------
    >>> long = TaskView('long', due=10, work_seconds=6)
    >>> short = TaskView('short', due=10, work_seconds=1)
    >>> late = TaskView('late', due=3, work_seconds=5)
    >>> [task.key for task in order_tasks([late, short, long], now=0)]
    ['long', 'short', 'late']

    """

    def rank(task: TaskView) -> tuple[bool, bool, float]:
        slack = task.due - now - task.work_seconds
        return (task.is_extra, slack < 0, slack)

    return sorted(tasks, key=rank)
