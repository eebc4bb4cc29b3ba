"""The contract of a choice among targets."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """
    A target that may take a request.

    Attributes
    ----------
    name : str
        Name of the target.
    reported_load : int
        Requests running and queued by the target's last word.
    sent : int
        Requests of this node in flight there.
    batch_limit : int
        Largest batch.
    version : int
        Weight version by the target's last word.
    in_flight_at_report : int
        Requests of this node in flight there at the last word.
    region : str
        Region of the target.

    """

    name: str
    reported_load: int = 0
    in_flight: int = 0
    batch_limit: int = 1
    version: int = 0
    in_flight_at_report: int = 0
    region: str = ''

    @property
    def load(self) -> int:
        """The reported load, corrected by what was sent since."""
        corrected = (
            self.reported_load + self.in_flight - self.in_flight_at_report
        )
        return max(self.in_flight, corrected)

    @property
    def has_free_slot(self) -> bool:
        """Whether a place in the batch is free."""
        return self.load < self.batch_limit


class TargetChooser(ABC):
    """Chooses a target for each request."""

    def choose(self, prompt: str, candidates: Sequence[Candidate]) -> Candidate:
        """
        Choose among candidates.

        Parameters
        ----------
        prompt : str
            Prompt of the request.
        candidates : sequence of Candidate
            At least one target.

        Returns
        -------
        Candidate
            One of the candidates.

        """
        if len(candidates) == 1:
            return candidates[0]
        return self._choose(prompt, candidates)

    @abstractmethod
    def _choose(
        self,
        prompt: str,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Choose among two or more candidates."""
