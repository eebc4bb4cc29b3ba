"""Interface of the estimates of one server's speed and capacity."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum


class CapacityMode(StrEnum):
    """Which estimates the decisions of a node rest on."""

    learned = 'learned'
    fixed = 'fixed'


@dataclass(frozen=True, slots=True)
class CapacityView:
    """
    What is known of a server, for operators.

    Attributes
    ----------
    usual_seconds : float
        Time of a unit of work without a slow-down.
    fleet_seconds : float
        Mean of the usual times of all servers.
    samples : int
        Number of measurements that the usual time rests on.
    deviation : float
        Mean deviation of the logarithms of the times.
    slow_ratio : float
        Ratio of the slow-down in progress; 1 without one.
    slow_for : float
        Time in seconds that it has lasted.
    limit : int
        Number of requests up to which throughput rises.

    """

    usual_seconds: float
    fleet_seconds: float
    samples: int
    deviation: float
    slow_ratio: float
    slow_for: float
    limit: int


class ServerCapacity(ABC):
    """
    Estimated speed of one server, and how many requests it handles well.

    Explanation
    -----------
    The time of a unit of work is what the caller measures: the time per token
    of an engine, or the duration of a response of a plain replica.

    """

    @property
    @abstractmethod
    def has_converged(self) -> bool:
        """Whether there are enough measurements to compare servers by."""

    @abstractmethod
    def observe(self, seconds: float, concurrency: int, now: float) -> None:
        """
        Add a measured time of a unit of work.

        Parameters
        ----------
        seconds : float
            Measured time of the unit.
        concurrency : int
            Number of requests that ran at the server meanwhile, as far as
            this node knows.
        now : float
            Time in seconds of the measurement.

        """

    @abstractmethod
    def estimate(self, now: float, units: float | None = None) -> float:
        """
        Return the expected time of a unit of work.

        Parameters
        ----------
        now : float
            Time in seconds at which the work would start.
        units : float, optional
            Amount of work. A slow-down that ends soon matters less to a long
            piece of work than to a short one.

        """

    def estimate_likely(self, now: float, units: float) -> float:
        """
        Return the time of a unit that is as likely exceeded as not.

        A rare long slow-down does not count before it has outlasted the usual
        ones, so work that is in progress is not moved for each disturbance.
        """
        return self.estimate(now, units)

    @abstractmethod
    def find_limit(self, slots: int, now: float) -> int:
        """Return the number of requests up to which throughput still rises."""

    @abstractmethod
    def describe(self, slots: int) -> CapacityView:
        """Return what has been learned, with no samples if nothing was."""


class CapacityFleet(ABC):
    """Servers of one kind, which are compared with each other."""

    @abstractmethod
    def make_server(self) -> ServerCapacity:
        """Return the estimates of a server without measurements."""
