"""
Circuit breaker for calls to a service.

References
----------
Nygard, "Release It!", 2nd ed., 2018, "Circuit Breaker".

"""

from collections.abc import Callable

from ladder_core.timers import TimerService

_FAILURE_THRESHOLD = 5
_PROBE_INTERVAL_SECONDS = 1


class CircuitBreaker:
    """
    Circuit breaker that opens after five failures in a row.

    Explanation
    -----------
    While the breaker is open, one call per second is let through as a probe; a
    success closes the breaker.

    Parameters
    ----------
    timers : TimerService
        Clock of the probes.
    on_change : callable
        Called with True when the breaker opens, with False when it closes.

    """

    def __init__(
        self,
        timers: TimerService,
        on_change: Callable[[bool], None],
    ) -> None:
        self._timers = timers
        self._on_change = on_change
        self._failures = 0
        self._probe_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether calls are stopped because the service has failed."""
        return self._probe_at is not None

    def try_acquire(self) -> bool:
        """Return whether a call is allowed now; it may be a probe."""
        if self._probe_at is None:
            return True
        now = self._timers.now()
        if now < self._probe_at:
            return False
        self._probe_at = now + _PROBE_INTERVAL_SECONDS
        return True

    def record_success(self) -> None:
        """Reset the count of failures and close the breaker."""
        self._failures = 0
        if self._probe_at is not None:
            self._probe_at = None
            self._on_change(False)  # noqa: WPS425 the only argument

    def record_failure(self) -> None:
        """Count a failure; open the breaker at the threshold."""
        self._failures += 1
        if self._failures < _FAILURE_THRESHOLD:
            return
        was_open = self.is_open
        self._probe_at = self._timers.now() + _PROBE_INTERVAL_SECONDS
        if not was_open:
            self._on_change(True)  # noqa: WPS425 the only argument
