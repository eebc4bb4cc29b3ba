"""Times that nodes store in the table service, and ages found from them."""

from dataclasses import dataclass

from ladder_core.timers import TimerService

_MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Timestamp:
    """
    A moment by the clock of the table service and by that of a host.

    Attributes
    ----------
    wall : int
        Milliseconds since the Unix epoch by the wall clock of a host, which
        may differ between hosts and may jump.
    service : int or None
        Milliseconds by the steady clock of the table service, which all nodes
        share; None if the host did not know it.

    """

    wall: int
    service: int | None = None

    def find_age_seconds(self, now: 'Timestamp') -> float:
        """
        Return the seconds from this moment to a later one, zero at the least.

        The wall clocks are compared only if a service time is missing.

        Examples
        --------
        >>> accepted = Timestamp(wall=21_000, service=5_000)
        >>> accepted.find_age_seconds(Timestamp(wall=10_000, service=7_500))
        2.5
        >>> accepted.find_age_seconds(Timestamp(wall=23_000))
        2.0

        """
        elapsed = (
            now.wall - self.wall
            if self.service is None or now.service is None
            else now.service - self.service
        )
        return max(elapsed / _MILLISECONDS_PER_SECOND, 0)


class ServiceClock:
    """
    Estimate the clock of the table service from its responses.

    Parameters
    ----------
    timers : TimerService
        Monotonic clock that continues the estimate between two responses.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._ahead: float | None = None

    def observe(self, milliseconds: float) -> None:
        """Take over the time that a response has just named."""
        self._ahead = milliseconds - self._find_steady_milliseconds()

    def estimate(self) -> int | None:
        """Return the time in milliseconds; None before the first response."""
        if self._ahead is None:
            return None
        return int(self._find_steady_milliseconds() + self._ahead)

    def _find_steady_milliseconds(self) -> float:
        return self._timers.now() * _MILLISECONDS_PER_SECOND
