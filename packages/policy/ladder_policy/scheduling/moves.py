"""Decide whether a running text goes on at a faster engine."""

from dataclasses import dataclass

# A run moves to an engine that is faster by at least this factor, if the move
# also saves the minimum time. The cost of a move is small: the new engine
# processes the existing text in some ten milliseconds.
_MIN_SPEEDUP = 1.2
# The factor for engines whose token time was measured on few events only.
_MIN_SPEEDUP_UNCERTAIN = 2.5
_MIN_SAVED_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class RunView:
    """
    Properties of a run that decide whether it moves.

    Attributes
    ----------
    tokens_left : float
        Expected number of tokens still to be generated.
    token_seconds : float
        Estimated time per token of its engine.
    seconds_left : float
        Time in seconds until the result is due.

    """

    tokens_left: float
    token_seconds: float
    seconds_left: float

    @property
    def is_late(self) -> bool:
        """Whether the text would be complete after it is due."""
        return self.tokens_left * self.token_seconds > self.seconds_left


def should_move(
    run: RunView,
    token_seconds: float,
    is_certain: bool,
    others_wait: bool,
) -> bool:
    """
    Return whether a run should go on at another engine with a free slot.

    Explanation
    -----------
    While other tasks wait for that slot, only a text that would be late where
    it runs takes it, and one of them gets the slot that it leaves.

    Parameters
    ----------
    run : RunView
        The run at its present engine.
    token_seconds : float
        Estimated time per token of the other engine.
    is_certain : bool
        Whether the speed of both engines was measured on many events.
    others_wait : bool
        Whether tasks that have no slot wait for one.

    Examples
    --------
    >>> run = RunView(4000, 0.0013, seconds_left=5)
    >>> should_move(run, 0.001, is_certain=True, others_wait=True)
    True
    >>> in_time = RunView(4000, 0.0013, seconds_left=6)
    >>> should_move(in_time, 0.001, is_certain=True, others_wait=True)
    False

    """
    if others_wait and not run.is_late:
        return False
    saved_seconds = run.tokens_left * (run.token_seconds - token_seconds)
    ratio = _MIN_SPEEDUP if is_certain else _MIN_SPEEDUP_UNCERTAIN
    return (
        run.token_seconds > ratio * token_seconds
        and saved_seconds > _MIN_SAVED_SECONDS
    )
