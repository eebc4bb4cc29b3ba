"""Decide whether a text waits for engines of its software, or starts anew."""

# Longest wait for a slot at an engine of the same software.
_MAX_WAIT_SECONDS = 1.5
# Share of the time that a new start costs which is waited for an engine that is
# not there; it may come back, or not.
_ABSENT_SHARE = 0.5


def should_start_anew(
    waited_seconds: float, lost_seconds: float, *, has_engine: bool
) -> bool:
    """
    Return whether a text should start anew at an engine of other software.

    Explanation
    -----------
    What engines of two software versions write doesn't fit together, so a text
    can only go on at its own. The wait for it should not take longer than to
    generate the text again.

    Parameters
    ----------
    waited_seconds : float
        Time for which only engines of other software have had room.
    lost_seconds : float
        Time that it takes to generate the text so far again.
    has_engine : bool
        Whether an engine of the same software serves, although it has no room.

    Examples
    --------
    >>> should_start_anew(0.4, 0.5, has_engine=True)
    False
    >>> should_start_anew(0.4, 0.5, has_engine=False)
    True

    """
    share = 1 if has_engine else _ABSENT_SHARE
    return waited_seconds >= min(share * lost_seconds, _MAX_WAIT_SECONDS)
