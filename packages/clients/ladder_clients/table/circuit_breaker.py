"""
A circuit breaker.

References
----------
Nygard, "Release It!", 2nd ed., 2018, "Circuit Breaker".

"""

from collections.abc import Callable

from ladder_core.timers import TimerService

_FAILURES = 5
_OPEN_SECONDS = 1


class CircuitBreaker:
    """
    Stop calls to a service that fails, and probe it by single calls.

    Parameters
    ----------
    timers : TimerService
        Source of time.
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
        """Whether the service counts as failed."""
        return self._probe_at is not None

    def try_acquire(self) -> bool:
        """Return whether a call may be made now; it may be the probe."""
        if self._probe_at is None:
            return True
        now = self._timers.now()
        if now < self._probe_at:
            return False
        self._probe_at = now + _OPEN_SECONDS
        return True

    def record_success(self) -> None:
        """Close the breaker."""
        self._failures = 0
        if self._probe_at is not None:
            self._probe_at = None
            self._on_change(False)  # noqa: WPS425 the only argument

    def record_failure(self) -> None:
        """Count a failure; open after several in a row."""
        self._failures += 1
        if self._failures < _FAILURES:
            return
        was_open = self.is_open
        self._probe_at = self._timers.now() + _OPEN_SECONDS
        if not was_open:
            self._on_change(True)  # noqa: WPS425 the only argument
