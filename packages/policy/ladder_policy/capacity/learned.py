"""Speed and capacity of servers, learned from their times."""

import math

from ladder_policy.capacity.base import (
    CapacityFleet,
    CapacityView,
    ServerCapacity,
)
from ladder_policy.capacity.concurrency import ConcurrencyCurve
from ladder_policy.capacity.slow_downs import SlowDownDurations

# Shorter times are rounding errors of the clock.
_MIN_SECONDS = 1e-9
# Weight of a window of measurements in the usual time of its server.
_USUAL_SMOOTHING = 0.02
_FLEET_SMOOTHING = 0.005
# Number of windows that a mean with that weight represents.
_MAX_SAMPLES = 99
# More windows than a usual disturbance lasts, which may be the first contact.
_CONVERGED_COUNT = 7
# A time above this multiple of the usual one is a slow-down, unless the times
# of the server differ by more: then it is this many mean deviations.
_MIN_SLOW_RATIO = 1.6
_SLOW_DEVIATIONS = 2.6
_INITIAL_DEVIATION = 0.3
_DEVIATION_SMOOTHING = 0.05
_PRIOR_DEVIATIONS = 5
# A single long time may come from a new connection or a lost packet.
_MAX_FIRST_RATIO = 4
_MAX_RATIO = 20
_RATIO_SMOOTHING = 0.3
# A slow-down that has lasted for so long is the usual speed from now on.
_PERMANENT_SECONDS = 20
_MIN_PERMANENT_WINDOWS = 8
# Windows in succession that show that a server has become faster.
_MIN_FAST_WINDOWS = 5
# Windows before which no time is taken for a slow-down.
_MIN_USUAL_WINDOWS = 5
# Pause after which the end of a slow-down is not known.
_MAX_END_PAUSE_SECONDS = 1
# A server without measurements for so long is taken for no slower than this
# multiple of the others, so that it gets short work that measures it again.
_MEASUREMENT_TTL_SECONDS = 30
_MAX_UNMEASURED_RATIO = 1.5
# Number of windows that an older mean counts for.
_MAX_AGED_COUNT = 10
# Standard deviation of the logarithms of the servers' usual times above which
# a server without measurements gets only half of its slots.
_UNEVEN_SPREAD = 0.2
# Duration of work of unknown length.
_TYPICAL_WORK_SECONDS = 4


class LearnedFleet(CapacityFleet):
    """
    Usual times of all servers, and the durations of their slow-downs.

    Parameters
    ----------
    initial_seconds : float
        Time of a unit of work before the first measurement.
    window_seconds : float, optional
        Time over which measurements are averaged before they are compared;
        zero for servers with few requests.
    settle_seconds : float, optional
        Time for which a request that begins delays the others once.

    Examples
    --------
    >>> fleet = LearnedFleet(0.0007)
    >>> server = fleet.make_server()
    >>> round(server.estimate(now=0), 6)
    0.0007
    >>> server.observe(0.001, concurrency=1, now=1)
    >>> round(server.estimate(now=2), 6), server.find_limit(6, now=2)
    (0.001, 6)

    """

    def __init__(
        self,
        initial_seconds: float,
        window_seconds: float = 0,
        settle_seconds: float = 0,
    ) -> None:
        self.slow_downs = SlowDownDurations()
        self.window_seconds = window_seconds
        self.settle_seconds = settle_seconds
        self._level = math.log(initial_seconds)
        self._variance: float = 0
        self._count = 0

    @property
    def seconds(self) -> float:
        """Geometric mean of the usual times of the servers."""
        return math.exp(self._level)

    @property
    def spread(self) -> float:
        """Standard deviation of the logarithms of the usual times."""
        return math.sqrt(self._variance)

    def make_server(self) -> ServerCapacity:
        """Return the estimates of a server without measurements."""
        return LearnedCapacity(self)

    def observe(self, usual_seconds: float) -> None:
        """Add the usual time of a server that was measured."""
        self._count += 1
        weight = max(1 / self._count, _FLEET_SMOOTHING)
        error = math.log(usual_seconds) - self._level
        self._level += weight * error
        if self._count > 1:
            self._variance += weight * (error * error - self._variance)


class UsualTime:
    """
    Time of a unit of work while a server is not slowed down.

    Parameters
    ----------
    seconds : float
        First measured time.

    Attributes
    ----------
    seconds : float
        Mean of the times that are not part of a slow-down.
    count : int
        Number of times in the mean.
    deviation : float
        Mean deviation of the logarithms of the times.

    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.count = 1
        self.deviation = _INITIAL_DEVIATION
        self._fast_times: list[float] = []

    @property
    def slow_ratio(self) -> float:
        """Ratio to the mean above which a time belongs to a slow-down."""
        if self.count < _MIN_USUAL_WINDOWS:
            return math.inf
        return self._usual_ratio

    def add(self, seconds: float) -> None:
        """Update the mean by a time that is not part of a slow-down."""
        seconds = min(seconds, _MAX_FIRST_RATIO * self.seconds)
        ratio = seconds / self.seconds
        if ratio * self._usual_ratio < 1:
            self._add_fast(seconds)
            return
        self._fast_times.clear()
        self.count += 1
        weight = max(1 / self.count, _USUAL_SMOOTHING)
        self.seconds += weight * (seconds - self.seconds)
        weight = max(1 / (self.count + _PRIOR_DEVIATIONS), _DEVIATION_SMOOTHING)
        self.deviation += weight * (abs(math.log(ratio)) - self.deviation)

    def renew(self, seconds: float) -> None:
        """Update the mean by the first time after a long pause."""
        seconds = min(seconds, _MAX_FIRST_RATIO * self.seconds)
        self.seconds = math.sqrt(self.seconds * seconds)
        self.count = min(self.count, _MAX_AGED_COUNT)

    @property
    def _usual_ratio(self) -> float:
        return max(_MIN_SLOW_RATIO, math.exp(_SLOW_DEVIATIONS * self.deviation))

    def _add_fast(self, seconds: float) -> None:
        """Start the mean anew once a server has become faster."""
        self._fast_times.append(seconds)
        if len(self._fast_times) >= min(_MIN_FAST_WINDOWS, 1 + self.count):
            self.seconds = sum(self._fast_times) / len(self._fast_times)
            self.count = len(self._fast_times)
            self._fast_times.clear()


class SlowDown:
    """
    A slow-down in progress.

    Attributes
    ----------
    ratio : float
        Ratio of the times to the usual time.
    windows : int
        Number of windows that it has lasted.
    began_at, seen_at : float
        Times in seconds of its first and its latest measurement.
    until : float
        Time in seconds at which it is over in the mean.
    likely_until : float
        Time in seconds at which half of such slow-downs are over.

    """

    def __init__(self, ratio: float, began_at: float) -> None:
        self.ratio = min(ratio, _MAX_FIRST_RATIO)
        self.windows = 1
        self.began_at = began_at
        self.seen_at = began_at
        self.until = began_at
        self.likely_until = began_at

    @property
    def elapsed(self) -> float:
        """Time in seconds from its first to its latest measurement."""
        return self.seen_at - self.began_at

    @property
    def is_permanent(self) -> bool:
        """Whether it has lasted so long that the server is usually so."""
        return (
            self.elapsed > _PERMANENT_SECONDS
            and self.windows >= _MIN_PERMANENT_WINDOWS
        )

    def observe(self, ratio: float) -> None:
        """Add the ratio of a further window."""
        self.windows += 1
        error = min(ratio, _MAX_RATIO) - self.ratio
        self.ratio += _RATIO_SMOOTHING * error

    def stretch(self, work_seconds: float, left: float) -> float:
        """
        Return the duration of work.

        Parameters
        ----------
        work_seconds : float
            Duration without the slow-down.
        left : float
            Time in seconds until the slow-down is over.

        """
        if work_seconds * self.ratio <= left:
            return work_seconds * self.ratio
        return work_seconds + left * (1 - 1 / self.ratio)


class LearnedCapacity(ServerCapacity):
    """
    Usual time, slow-down in progress and useful concurrency of one server.

    Parameters
    ----------
    fleet : LearnedFleet
        The servers that it is compared with.

    Attributes
    ----------
    measured_at : float
        Time in seconds of the latest measurement.

    """

    def __init__(self, fleet: LearnedFleet) -> None:
        self._fleet = fleet
        self._usual: UsualTime | None = None
        self._slow_down: SlowDown | None = None
        self._curve = ConcurrencyCurve(fleet.settle_seconds)
        self._growth: float = 1
        self.measured_at: float = 0
        self._window_at: float = 0
        self._window_sum: float = 0
        self._window_count = 0
        self._window_requests = 0

    @property
    def has_converged(self) -> bool:
        """Whether there are enough measurements to compare servers by."""
        return self._usual is not None and self._usual.count >= _CONVERGED_COUNT

    @property
    def samples(self) -> int:
        """Number of windows that the usual time rests on."""
        return min(self._usual.count, _MAX_SAMPLES) if self._usual else 0

    @property
    def deviation(self) -> float:
        """Mean deviation of the logarithms of the usual times."""
        return self._usual.deviation if self._usual else _INITIAL_DEVIATION

    @property
    def usual_seconds(self) -> float:
        """Time of a unit of work without a slow-down."""
        if self._usual is None:
            return self._fleet.seconds * math.exp(self._fleet.spread)
        return self._usual.seconds * self._growth

    @property
    def slow_ratio(self) -> float:
        """Ratio of the slow-down in progress; 1 without one."""
        return self._slow_down.ratio if self._slow_down else 1

    def observe(self, seconds: float, concurrency: int, now: float) -> None:
        """Add a measured time of a unit of work."""
        seconds = max(seconds, _MIN_SECONDS)
        if not self._window_count:
            self._window_at = now
        self._window_sum += seconds
        self._window_requests += concurrency
        self._window_count += 1
        is_over = now - self._window_at >= self._fleet.window_seconds
        if is_over or self._usual is None:
            self._close_window(now)

    def estimate(self, now: float, units: float | None = None) -> float:
        """Return the expected time of a unit of work."""
        usual_seconds = self.usual_seconds
        if self._usual is None:
            return usual_seconds
        if now - self.measured_at > _MEASUREMENT_TTL_SECONDS:
            longest = _MAX_UNMEASURED_RATIO * self._fleet.seconds
            return min(usual_seconds, longest)
        if self._slow_down is None or now >= self._slow_down.until:
            return usual_seconds
        return self._stretch(units, self._slow_down.until - now)

    def estimate_likely(self, now: float, units: float) -> float:
        """Return the time of a unit that is as likely exceeded as not."""
        if self._slow_down is None or now >= self._slow_down.likely_until:
            return min(self.usual_seconds, self.estimate(now, units))
        return self._stretch(units, self._slow_down.likely_until - now)

    def find_limit(self, slots: int, now: float) -> int:
        """Return the number of requests up to which throughput still rises."""
        if self._usual is None and self._fleet.spread > _UNEVEN_SPREAD:
            return max(slots // 2, 1)
        return self._curve.find_limit(slots, now)

    def describe(self, slots: int) -> CapacityView:
        """Return what is known of the server."""
        slow_down = self._slow_down
        return CapacityView(
            self.usual_seconds,
            self._fleet.seconds,
            self.samples,
            self.deviation,
            self.slow_ratio,
            slow_down.elapsed if slow_down else 0,
            self._curve.compute_limit(slots),
        )

    def _stretch(self, units: float | None, left: float) -> float:
        """Return the time of a unit with a slow-down that goes on so long."""
        usual_seconds = self.usual_seconds
        if self._slow_down is None:
            return usual_seconds
        work_seconds = units * usual_seconds if units else _TYPICAL_WORK_SECONDS
        stretched = self._slow_down.stretch(work_seconds, left)
        return usual_seconds * stretched / work_seconds

    def _close_window(self, now: float) -> None:
        seconds = self._window_sum / self._window_count
        concurrency = round(self._window_requests / self._window_count)
        self._window_sum = 0
        self._window_count = 0
        self._window_requests = 0
        is_aged = now - self.measured_at > _MEASUREMENT_TTL_SECONDS
        self.measured_at = now
        self._curve.observe(concurrency, seconds, now)
        self._growth = self._curve.find_growth(concurrency)
        seconds /= self._growth
        if self._usual is None:
            self._usual = UsualTime(seconds)
        elif is_aged:
            self._slow_down = None
            self._usual.renew(seconds)
        elif seconds > self._usual.slow_ratio * self._usual.seconds:
            self._add_slow(seconds / self._usual.seconds, now)
        else:
            self._end_slow_down(now)
            self._usual.add(seconds)
        self._fleet.observe(self._usual.seconds)

    def _add_slow(self, ratio: float, now: float) -> None:
        slow_down = self._slow_down
        if slow_down is None:
            slow_down = SlowDown(ratio, self._window_at)
            self._slow_down = slow_down
        else:
            slow_down.observe(ratio)
        slow_down.seen_at = now
        if slow_down.is_permanent and self._usual is not None:
            self._usual = UsualTime(self._usual.seconds * slow_down.ratio)
            self._slow_down = None
            return
        durations = self._fleet.slow_downs
        elapsed = slow_down.elapsed
        slow_down.until = now + durations.predict_remaining(elapsed)
        slow_down.likely_until = now + durations.predict_likely(elapsed)

    def _end_slow_down(self, now: float) -> None:
        slow_down = self._slow_down
        if slow_down is None:
            return
        self._slow_down = None
        if slow_down.windows == 1 and self._usual is not None:
            # Without single long times the mean would be too low.
            self._usual.add(slow_down.ratio * self._usual.seconds)
            return
        if now - slow_down.seen_at <= _MAX_END_PAUSE_SECONDS:
            self._fleet.slow_downs.add(slow_down.elapsed)
