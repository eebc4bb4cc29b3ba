"""Interface of the policies that choose among targets."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """
    A target that a request may be sent to.

    Attributes
    ----------
    name : str
        Name of the target.
    reported_load : int
        Requests running and queued by the target's latest status report.
    in_flight : int
        Requests of this node in flight at the target.
    batch_limit : int
        Number of requests that the target processes at once.
    version : int
        Weight version by the target's latest status report.
    in_flight_at_report : int
        Requests of this node that were in flight at the target when the
        latest status report arrived.
    region : str
        Region of the target, which policies compare with that of the node.

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
        """The reported load, corrected by this node's requests since then."""
        corrected = (
            self.reported_load + self.in_flight - self.in_flight_at_report
        )
        return max(self.in_flight, corrected)

    @property
    def has_free_slot(self) -> bool:
        """Whether the batch of the target has a free slot."""
        return self.load < self.batch_limit


class TargetChooser(ABC):
    """Chooses the target of each request."""

    def choose(self, prompt: str, candidates: Sequence[Candidate]) -> Candidate:
        """
        Return the candidate that the request is sent to.

        Parameters
        ----------
        prompt : str
            Prompt of the request, used by policies with prefix affinity.
        candidates : sequence of Candidate
            Available targets, at least one.

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
