"""Choose the engine that runs a task."""

from collections.abc import Iterable
from dataclasses import dataclass

# An engine that needs this many times as long for a token as the quickest
# one is left free while only a quicker one can be in time.
_SLOW_RATIO = 1.15
# A quicker engine is also waited for if its result is late by less than this:
# the trainer's next step begins with the last text of this one.
_MAX_LATENESS_SECONDS = 1.5
# What reading a prompt again costs against a run where its group has run.
_PREFILL_SECONDS = 0.03


@dataclass(frozen=True, slots=True)
class EngineView:
    """
    An engine that can run a task now.

    Attributes
    ----------
    name : str
        Name of the engine.
    token_seconds : float
        Time that it needs for a token.
    free_slots : int
        Tasks that it can take at once.
    has_prefix : bool
        Whether a task of the same group has run there.

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
    Choose the engine on which a task is ready first, or None to wait.

    Parameters
    ----------
    engines : iterable of EngineView
        Engines with a free slot that may run the task.
    tokens : float
        Expected number of tokens still to be generated.
    seconds_left : float
        Time until the result is wanted.
    quickest : float
        Seconds for a token at the quickest engine of the service, which may
        have no free slot now.

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
