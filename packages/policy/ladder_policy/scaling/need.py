"""
Number of engines that complete the present tasks in time.

References
----------
Graham, "Bounds on multiprocessing timing anomalies", SIAM Journal on Applied
Mathematics, 1969.

"""

import math

from ladder_policy.scaling.base import Demand

# Part of the time until a result is due that passes before the first token and
# after the last one: dispatch, processing of the prompt, scoring, the write of
# the result.
_OVERHEAD_SECONDS = 1
# Time over which work beside the longest text is spread if it is late already.
# Without this the number would have no bound.
_MIN_SPREAD_SECONDS = 2.5


def count_needed_engines(demand: Demand) -> int:
    """
    Return the number of engines that complete all tasks by their due times.

    Explanation
    -----------
    If no slot is idle while a task waits, then m slots complete tasks with the
    total duration W and the longest duration L within W / m + (1 - 1 / m) L.
    The number is found for the tasks that are due by each due time, and the
    largest one counts. A text can't be split, so the longest one limits how
    far more slots help, and more slots than tasks never do.

    Examples
    --------
    >>> from ladder_policy.scaling.base import TaskDemand
    >>> burst = (TaskDemand(2000, 7.5),) * 120
    >>> count_needed_engines(Demand(burst, token_seconds=0.0007, slots=6))
    6
    >>> count_needed_engines(Demand((), token_seconds=0.0007, slots=6))
    0

    """
    slots = 0
    total_seconds: float = 0
    longest_seconds: float = 0
    tasks = sorted(demand.tasks, key=lambda task: task.seconds_left)
    for count, task in enumerate(tasks, start=1):
        seconds = task.tokens_left * demand.token_seconds
        total_seconds += seconds
        longest_seconds = max(longest_seconds, seconds)
        spread_seconds = max(
            task.seconds_left - _OVERHEAD_SECONDS - longest_seconds,
            _MIN_SPREAD_SECONDS,
        )
        needed = math.ceil((total_seconds - longest_seconds) / spread_seconds)
        slots = max(slots, min(needed, count), 1)
    return math.ceil(slots / max(demand.slots, 1))
