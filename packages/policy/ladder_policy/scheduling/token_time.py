"""Estimates of the time that engines need per generated token."""

# Weight of the newest measurement in the recent average, in the steady average
# and in that of all engines; the last two start as arithmetic means. The gap
# between two events varies by half, because the engine processes prompts of
# other texts in between, whereas engines differ by a third.
_RECENT_SMOOTHING = 0.3
_STEADY_SMOOTHING = 0.02
# Number of measurements that the recent average represents.
_RECENT_COUNT = 3
# Number of measurements after which the steady average is wrong by a tenth at
# most.
_CONVERGED_COUNT = 20
_FLEET_SMOOTHING = 0.005
# If the recent average differs from the steady one by more than this ratio, the
# speed of the engine has changed.
_CHANGE_RATIO = 1.8
# Share by which the best time per token of an engine grows with each event, so
# that old values are forgotten.
_BEST_DECAY = 0.001
# Time after which measurements expire. An engine that was slow gets few tasks,
# so without this no measurement would show that it has recovered.
_MEASUREMENT_TTL_SECONDS = 6
# A single long gap may come from a load of weights or a lost packet; it counts
# for at most this many times the recent average.
_MAX_SAMPLE_RATIO = 4
# Largest estimate for an engine without recent measurements, as a ratio to the
# average of all engines: high enough that it gets no long tasks, low enough
# that it gets short ones, which measure it again.
_MAX_UNMEASURED_RATIO = 1.5
# Time per token before the first measurement.
_INITIAL_TOKEN_SECONDS = 0.0007


class FleetTokenTime:
    """
    Average time per token of all engines of a deployment.

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
        """Average time per token."""
        return self._seconds

    def observe(self, seconds: float) -> None:
        """Update the average by the measured time per token of any engine."""
        self._count += 1
        weight = max(1 / self._count, _FLEET_SMOOTHING)
        self._seconds += weight * (seconds - self._seconds)


class EngineTokenTime:
    """
    Estimated time per token of one engine.

    Explanation
    -----------
    Engines of one service differ in speed permanently, and some become slow
    for a while. The steady average has enough weight to tell a permanent
    difference from chance; it is reset when the recent average shows that the
    speed has changed. The best value is kept for times in which the engine
    has no tasks.

    Parameters
    ----------
    fleet : FleetTokenTime
        Gets each measurement, and is the estimate for an engine without any.

    Examples
    --------
    >>> token_time = EngineTokenTime(FleetTokenTime())
    >>> for moment in range(20):
    ...     token_time.observe(0.001, now=moment)
    >>> round(token_time.estimate(now=100), 6)
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
        """Whether there are enough measurements to compare engines by."""
        return self._count >= _CONVERGED_COUNT

    def observe(self, seconds: float, now: float) -> None:
        """Update the averages by the measured time per token."""
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
        weight = max(1 / self._count, _STEADY_SMOOTHING)
        self._steady += weight * (gap - self._steady)
        ratio = self._recent / self._steady
        if not 1 / _CHANGE_RATIO <= ratio <= _CHANGE_RATIO:
            self._steady = self._recent
            self._count = _RECENT_COUNT
        best = self._best * (1 + _BEST_DECAY)
        self._best = min(best, self._steady)

    def estimate(self, now: float) -> float:
        """Return the estimated time per token."""
        if self._measured_at is None:
            return self._fleet.seconds
        if self._is_expired(now):
            return min(self._best, _MAX_UNMEASURED_RATIO * self._fleet.seconds)
        return self._steady

    def _is_expired(self, now: float) -> bool:
        if self._measured_at is None:
            return True
        return now - self._measured_at > _MEASUREMENT_TTL_SECONDS
