"""The contract of a decision about stragglers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunningSample:
    """
    A sample in flight.

    Attributes
    ----------
    group, index : int
        Its place within the step.
    seconds : float
        Time since its generation began.
    tokens : int
        Tokens of its longest run.
    runs : int
        Number of runs of it that are in flight.

    """

    group: int
    index: int
    seconds: float
    tokens: int = 0
    runs: int = 1

    @property
    def rate(self) -> float:
        """Tokens a second."""
        return self.tokens / self.seconds if self.seconds > 0 else 0


@dataclass(frozen=True, slots=True)
class StepProgress:
    """
    How far a step is.

    Attributes
    ----------
    waiting : int
        Samples that have not begun.
    idle_slots : int
        Places in the batches of the engines that the step leaves idle.
    median_seconds : float
        Median time of the samples that have finished; zero without any.
    median_rate : float
        Their median tokens a second.
    running : tuple of RunningSample
        Samples in flight.

    """

    waiting: int
    idle_slots: int
    median_seconds: float
    median_rate: float
    running: tuple[RunningSample, ...]


class StragglerPolicy(ABC):
    """Chooses the samples that get a second run."""

    @abstractmethod
    def choose(self, progress: StepProgress) -> tuple[RunningSample, ...]:
        """
        Choose samples to run on a second engine now.

        Parameters
        ----------
        progress : StepProgress
            How far the step is.

        Returns
        -------
        tuple of RunningSample
            Some of the running ones, the most urgent first.

        """

    @abstractmethod
    def adjust_priority(self, missing: int, size: int) -> int:
        """
        Return what is added to the engine priority of a sample.

        Parameters
        ----------
        missing : int
            Samples that its group lacks.
        size : int
            Samples of the group.

        Returns
        -------
        int
            Lower values run first.

        """
