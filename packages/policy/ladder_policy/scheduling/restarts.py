"""Pause of work whose starts are lost in a row."""

# One lost start is most likely a coincidence.
_FREE_LOSSES = 1
_PAUSE_SECONDS = 1


class RestartPause:
    """
    Pause work that is lost at its start more than once in a row.

    Explanation
    -----------
    Work that ends each process that begins to run it would take down a whole
    fleet if it started again at once. The pause is short and does not grow, so
    that work which met the losses by chance is hardly delayed.

    Examples
    --------
    >>> pause = RestartPause()
    >>> pause.record_loss(), pause.record_loss(), pause.record_loss()
    (0, 1, 1)
    >>> pause.record_progress()
    >>> pause.record_loss()
    0

    """

    def __init__(self) -> None:
        self._losses = 0

    @property
    def has_losses(self) -> bool:
        """Whether the last start was lost."""
        return self._losses > 0

    def record_loss(self) -> float:
        """Count a lost start; return the seconds until the next one."""
        self._losses += 1
        return _PAUSE_SECONDS if self._losses > _FREE_LOSSES else 0

    def record_progress(self) -> None:
        """Record that the work has begun, so its start was not the cause."""
        self._losses = 0
