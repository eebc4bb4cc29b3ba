"""Interface of the policies for stragglers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunningSample:
    """
    A sample in flight.

    Attributes
    ----------
    group, index : int
        Group of the sample within the step, and its index in the group.
    seconds : float
        Time since the start of its generation.
    tokens : int
        Tokens that its longest run has generated.
    runs : int
        Number of runs that are in flight; more than one if it is hedged.

    """

    group: int
    index: int
    seconds: float
    tokens: int = 0
    runs: int = 1

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self.tokens / self.seconds if self.seconds > 0 else 0


@dataclass(frozen=True, slots=True)
class StepProgress:
    """
    Progress of a step.

    Attributes
    ----------
    waiting : int
        Number of samples whose generation has not started.
    idle_slots : int
        Batch slots of the engines that the step does not use.
    median_seconds : float
        Median duration of the finished samples; zero without any.
    median_rate : float
        Median tokens per second of the finished samples.
    running : tuple of RunningSample
        Samples in flight, among which the policy chooses.

    """

    waiting: int
    idle_slots: int
    median_seconds: float
    median_rate: float
    running: tuple[RunningSample, ...]


class StragglerPolicy(ABC):
    """Chooses the samples that are hedged by a second run."""

    @abstractmethod
    def choose(self, progress: StepProgress) -> tuple[RunningSample, ...]:
        """
        Return the samples to be run on a second engine now.

        Parameters
        ----------
        progress : StepProgress
            State of the step whose samples are considered.

        Returns
        -------
        tuple of RunningSample
            Some of the running samples, the most urgent first.

        """

    @abstractmethod
    def adjust_priority(self, missing: int, size: int) -> int:
        """
        Return the number to add to the engine priority of a sample.

        Parameters
        ----------
        missing : int
            Number of samples of its group that are not finished.
        size : int
            Number of all samples of the group.

        Returns
        -------
        int
            Samples with lower values run first.

        """
