"""How fast an engine generates, as far as its texts tell."""

# Share of the newest measurement in the recent pace, in an engine's usual
# pace, and in that of all engines.
_RECENT_SHARE = 0.3
_USUAL_SHARE = 0.02
_FLEET_SHARE = 0.005
# Time for which a recent measurement counts. An engine that was slow gets few
# tasks, so nothing would ever show that it has recovered.
_MEMORY_SECONDS = 6
# A single gap may be a load or a lost packet; it counts for at most this many
# times the pace so far.
_MOST_RATIO = 4
# What an engine without recent measurements is taken for at most, as a ratio
# to all engines: slow enough to keep long texts away, quick enough to get
# short ones, which then show its pace.
_DOUBT_RATIO = 1.5
# Time for a token before anything was measured.
_FIRST_TOKEN_SECONDS = 0.0007


class FleetPace:
    """
    Average pace of all engines of a deployment.

    Examples
    --------
    >>> fleet = FleetPace()
    >>> fleet.note(0.004)
    >>> fleet.seconds
    0.004

    """

    def __init__(self) -> None:
        self._seconds = _FIRST_TOKEN_SECONDS
        self._count = 0

    @property
    def seconds(self) -> float:
        """Seconds for a token."""
        return self._seconds

    def note(self, seconds: float) -> None:
        """Take the measured time for a token at any engine."""
        self._count += 1
        share = max(1 / self._count, _FLEET_SHARE)
        self._seconds += share * (seconds - self._seconds)


class EnginePace:
    """
    Pace of one engine.

    Explanation
    -----------
    Engines of one service differ in speed for as long as they run, and some
    turn slow for a while. The recent pace follows the second; the usual pace
    keeps the first while an engine has no tasks.

    Parameters
    ----------
    fleet : FleetPace
        Takes each measurement, and stands in for an engine that has none.

    Examples
    --------
    >>> pace = EnginePace(FleetPace())
    >>> for moment in range(20):
    ...     pace.note(0.001, now=moment)
    >>> pace.find(now=100)
    0.001

    """

    def __init__(self, fleet: FleetPace) -> None:
        self._fleet = fleet
        self._recent: float | None = None
        self._usual: float | None = None
        self._measured_at: float = 0

    def note(self, seconds: float, now: float) -> None:
        """Take the measured time for a token."""
        if self._recent is None:
            self._recent = seconds
        before = self.find(now)
        seconds = min(seconds, _MOST_RATIO * before)
        self._recent = before + _RECENT_SHARE * (seconds - before)
        self._measured_at = now
        usual = self._usual or self._recent
        usual += _USUAL_SHARE * (seconds - usual)
        self._usual = min(usual, self._recent)
        self._fleet.note(seconds)

    def find(self, now: float) -> float:
        """Return the seconds for a token."""
        if self._recent is None:
            return self._fleet.seconds
        if self._usual is None or now - self._measured_at <= _MEMORY_SECONDS:
            return self._recent
        return min(self._usual, _DOUBT_RATIO * self._fleet.seconds)
