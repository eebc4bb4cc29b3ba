"""Estimates as they were before capacities were learned."""

from ladder_policy.capacity.base import (
    CapacityFleet,
    CapacityView,
    ServerCapacity,
)
from ladder_policy.scheduling.token_time import EngineTokenTime, FleetTokenTime


class FixedCapacity(ServerCapacity):
    """
    Averages of the time per token; all listed slots are used.

    Parameters
    ----------
    fleet : FleetTokenTime
        Average of all engines, the estimate for an engine without any.

    """

    def __init__(self, fleet: FleetTokenTime) -> None:
        self._token_time = EngineTokenTime(fleet)

    @property
    def has_converged(self) -> bool:
        """Whether there are enough measurements to compare engines by."""
        return self._token_time.has_converged

    def observe(self, seconds: float, concurrency: int, now: float) -> None:
        """Add a measurement; the concurrency is ignored."""
        self._token_time.observe(seconds, now)

    def estimate(self, now: float, units: float | None = None) -> float:
        """Return the average; the amount of work is ignored."""
        return self._token_time.estimate(now)

    def find_limit(self, slots: int, now: float) -> int:
        """Return all slots."""
        return slots

    def describe(self, slots: int) -> CapacityView:
        """Return a view without samples."""
        return CapacityView(
            usual_seconds=0,
            fleet_seconds=0,
            samples=0,
            deviation=0,
            slow_ratio=1,
            slow_for=0,
            limit=slots,
        )


class FixedFleet(CapacityFleet):
    """
    Engines whose slots are all used.

    Examples
    --------
    >>> server = FixedFleet().make_server()
    >>> server.observe(0.001, concurrency=6, now=0)
    >>> server.estimate(now=0), server.find_limit(6, now=0)
    (0.001, 6)

    """

    def __init__(self) -> None:
        self._fleet = FleetTokenTime()

    def make_server(self) -> ServerCapacity:
        """Return the estimates of an engine without measurements."""
        return FixedCapacity(self._fleet)
