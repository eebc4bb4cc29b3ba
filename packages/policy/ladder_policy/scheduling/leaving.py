"""Decide whether a text leaves an engine that the platform takes back."""

# Time before the announced departure at which texts stop at the latest. The
# announcement arrives up to a second late, and a run takes a moment to stop.
_MARGIN_SECONDS = 1.2


def should_leave(
    run_seconds: float, seconds_left: float, *, has_slot: bool
) -> bool:
    """
    Return whether a text should stop at an engine that leaves.

    Explanation
    -----------
    A text that is complete in time stays. Another one goes on elsewhere as
    soon as there is a slot, and waits for one when the time is over, since a
    connection that breaks counts as a failure.

    Parameters
    ----------
    run_seconds : float
        Time that the text needs at the engine.
    seconds_left : float
        Time until the engine leaves.
    has_slot : bool
        Whether another engine has a slot for the text.

    Examples
    --------
    >>> should_leave(1.2, 2.5, has_slot=True)
    False
    >>> should_leave(1.5, 2.5, has_slot=True)
    True
    >>> should_leave(1.5, 2.5, has_slot=False)
    False
    >>> should_leave(0.7, 1.1, has_slot=False)
    True

    """
    if run_seconds <= seconds_left - _MARGIN_SECONDS:
        return False
    return has_slot or seconds_left <= _MARGIN_SECONDS
