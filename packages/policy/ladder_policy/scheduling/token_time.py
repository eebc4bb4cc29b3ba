"""How fast an engine generates, as far as its texts tell."""

# Share of the newest measurement in the pace of the moment, in the steady one
# and in that of all engines; the last two begin as plain averages. Gaps differ
# by half from event to event, with the prompts of other texts that are read
# between; engines differ by a third.
_RECENT_SMOOTHING = 0.3
_STEADY_SMOOTHING = 0.02
# Measurements that the pace of the moment stands for.
_RECENT_COUNT = 3
# Measurements after which chance makes a steady pace wrong by a tenth at most.
_CONVERGED_COUNT = 20
_FLEET_SMOOTHING = 0.005
# A moment that differs by more than this ratio is a change of the engine.
_CHANGE_RATIO = 1.8
# By which the best pace that an engine ever had is forgotten at each event.
_BEST_DECAY = 0.001
# Time for which a recent measurement counts. An engine that was slow gets few
# tasks, so nothing would ever show that it has recovered.
_MEASUREMENT_TTL_SECONDS = 6
# A single gap may be a load or a lost packet; it counts for at most this many
# times the pace so far.
_MAX_SAMPLE_RATIO = 4
# What an engine without recent measurements is taken for at most, as a ratio
# to all engines: slow enough to keep long texts away, quick enough to get
# short ones, which then show its pace.
_MAX_UNMEASURED_RATIO = 1.5
# Time for a token before anything was measured.
_INITIAL_TOKEN_SECONDS = 0.0007


class FleetTokenTime:
    """
    Average pace of all engines of a deployment.

    Examples
    --------
    >>> fleet = FleetTokenTime()
    >>> fleet.observe(0.004)
    >>> fleet.seconds
    0.004

    """

    def __init__(self) -> None:
        self._seconds = _INITIAL_TOKEN_SECONDS
        self._count = 0

    @property
    def seconds(self) -> float:
        """Seconds for a token."""
        return self._seconds

    def observe(self, seconds: float) -> None:
        """Take the measured time for a token at any engine."""
        self._count += 1
        share = max(1 / self._count, _FLEET_SMOOTHING)
        self._seconds += share * (seconds - self._seconds)


class EngineTokenTime:
    """
    Pace of one engine.

    Explanation
    -----------
    Engines of one service differ in speed for as long as they run, and some
    turn slow for a while. The steady pace tells the first apart from chance;
    it starts anew when the engine has turned. The usual pace is kept for the
    time in which an engine has no tasks.

    Parameters
    ----------
    fleet : FleetTokenTime
        Takes each measurement, and stands in for an engine that has none.

    Examples
    --------
    >>> pace = EngineTokenTime(FleetTokenTime())
    >>> for moment in range(20):
    ...     pace.observe(0.001, now=moment)
    >>> round(pace.estimate(now=100), 6)
    0.001

    """

    def __init__(self, fleet: FleetTokenTime) -> None:
        self._fleet = fleet
        self._recent: float = 0
        self._steady: float = 0
        self._best: float = 0
        self._count = 0
        self._measured_at: float | None = None

    @property
    def has_converged(self) -> bool:
        """Whether the pace tells this engine from one that is alike."""
        return self._count >= _CONVERGED_COUNT

    def observe(self, seconds: float, now: float) -> None:
        """Take the measured time for a token."""
        self._fleet.observe(seconds)
        if self._measured_at is None:
            self._best = seconds
        if self._is_expired(now):
            self._recent = seconds
            self._steady = seconds
            self._count = 0
        self._measured_at = now
        gap = min(seconds, _MAX_SAMPLE_RATIO * self._recent)
        self._recent += _RECENT_SMOOTHING * (gap - self._recent)
        self._count += 1
        share = max(1 / self._count, _STEADY_SMOOTHING)
        self._steady += share * (gap - self._steady)
        ratio = self._recent / self._steady
        if not 1 / _CHANGE_RATIO <= ratio <= _CHANGE_RATIO:
            self._steady = self._recent
            self._count = _RECENT_COUNT
        best = self._best * (1 + _BEST_DECAY)
        self._best = min(best, self._steady)

    def estimate(self, now: float) -> float:
        """Return the seconds for a token."""
        if self._measured_at is None:
            return self._fleet.seconds
        if self._is_expired(now):
            return min(self._best, _MAX_UNMEASURED_RATIO * self._fleet.seconds)
        return self._steady

    def _is_expired(self, now: float) -> bool:
        if self._measured_at is None:
            return True
        return now - self._measured_at > _MEASUREMENT_TTL_SECONDS
