"""Choice of the engine that runs a task."""

from collections.abc import Iterable
from dataclasses import dataclass

# An engine that needs more than this many times the time per token of the
# fastest engine gets no task that only a faster engine can complete in time.
_SLOW_RATIO = 1.15
# A task also waits for a faster engine if its result would still be late there,
# by up to this time: the trainer starts the next step after the last text of
# the current one, so less delay helps, too.
_MAX_LATENESS_SECONDS = 1.5
# Time to process a prompt on an engine that has not run a task of its group,
# and so does not have the prompt in its prefix cache.
_PREFILL_SECONDS = 0.03


@dataclass(frozen=True, slots=True)
class EngineView:
    """
    Properties of an engine by which the engine of a task is chosen.

    Attributes
    ----------
    name : str
        Name of the engine, which decides between equal engines.
    token_seconds : float
        Estimated time per generated token.
    free_slots : int
        Number of tasks that the engine can start now.
    has_prefix : bool
        Whether a task of the same group has run on the engine.

    """

    name: str
    token_seconds: float
    free_slots: int
    has_prefix: bool = False


def choose_engine(
    engines: Iterable[EngineView],
    tokens: float,
    seconds_left: float,
    fastest_token_seconds: float,
) -> EngineView | None:
    """
    Return the engine that completes a task first, or None to let it wait.

    Parameters
    ----------
    engines : iterable of EngineView
        Engines with a free slot that may run the task.
    tokens : float
        Expected number of tokens still to be generated.
    seconds_left : float
        Time in seconds until the result is due.
    fastest_token_seconds : float
        Time per token of the fastest engine of the service, which may have no
        free slot now.

    Examples
    --------
    >>> quick = EngineView('quick', 0.001, free_slots=1)
    >>> slow = EngineView('slow', 0.004, free_slots=8)
    >>> choose_engine([slow, quick], 1000, 7, fastest_token_seconds=0.001).name
    'quick'
    >>> choose_engine([slow], 1000, 3, fastest_token_seconds=0.001) is None
    True
    >>> choose_engine([slow], 500, 3, fastest_token_seconds=0.001).name
    'slow'
    >>> choose_engine([slow], 9000, 3, fastest_token_seconds=0.001).name
    'slow'

    """

    def estimate(engine: EngineView) -> tuple[float, int, str]:
        prefill = 0 if engine.has_prefix else _PREFILL_SECONDS
        seconds = tokens * engine.token_seconds + prefill
        return (seconds, -engine.free_slots, engine.name)

    best = min(engines, key=estimate, default=None)
    if best is None:
        return None
    is_slow = best.token_seconds > _SLOW_RATIO * fastest_token_seconds
    is_late = tokens * best.token_seconds > seconds_left
    fastest_is_in_time = (
        tokens * fastest_token_seconds <= seconds_left + _MAX_LATENESS_SECONDS
    )
    return None if is_slow and is_late and fastest_is_in_time else best
