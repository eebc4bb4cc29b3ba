"""
How long to wait for an answer, by how long the last ones took.

Calls that are given up still cost the service its time, so a limit that is
too short makes a slow service slower.

References
----------
RFC 6298, "Computing TCP's Retransmission Timer", section 2.

"""

_LEAST_SECONDS = 0.7
# A call that fell silent just before the service came back holds up what
# follows it for this time.
_MOST_SECONDS = 2
_TIMES_USUAL = 4
_NEWEST_SHARE = 0.25
_GROWTH = 1.6


class Patience:
    """
    A timeout that follows the service's usual time.

    Examples
    --------
    >>> patience = Patience()
    >>> patience.seconds
    0.7
    >>> patience.note_silence()
    >>> patience.seconds
    1.12
    >>> patience.note_answer(0.01)
    >>> patience.seconds
    0.7

    """

    def __init__(self) -> None:
        self._usual: float = 0
        self._floor: float = _LEAST_SECONDS

    @property
    def seconds(self) -> float:
        """The timeout of the next call."""
        wanted = max(self._floor, _TIMES_USUAL * self._usual)
        return round(min(wanted, _MOST_SECONDS), 3)

    def note_answer(self, seconds: float) -> None:
        """Note how long an answer took."""
        self._usual += _NEWEST_SHARE * (seconds - self._usual)
        self._floor = _LEAST_SECONDS

    def note_silence(self) -> None:
        """Note a call that was given up; the service may be slow."""
        self._floor = min(self.seconds * _GROWTH, _MOST_SECONDS)
