"""Restrict the targets of a request by their region."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from ladder_policy.routing import Candidate


class RegionPolicy(ABC):
    """Narrows the candidates of a request to those of some regions."""

    @abstractmethod
    def narrow(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """
        Return the candidates that the request may be sent to.

        Parameters
        ----------
        candidates : sequence of Candidate
            Available targets of all regions, at least one.

        Returns
        -------
        sequence of Candidate
            At least one of the candidates.

        """


class AnyRegion(RegionPolicy):
    """Use the targets of all regions alike; the simple baseline."""

    def narrow(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Return all candidates."""
        return candidates


class NearestRegion(RegionPolicy):
    """
    Use other regions only when no target of the own region has a free slot.

    Parameters
    ----------
    region : str
        Region of this node.

    Examples
    --------
    >>> here = Candidate('a', region='attica', batch_limit=2, in_flight=1)
    >>> there = Candidate('b', region='thessaloniki', batch_limit=2)
    >>> policy = NearestRegion('attica')
    >>> [candidate.name for candidate in policy.narrow([here, there])]
    ['a']
    >>> full = Candidate('a', region='attica', batch_limit=2, in_flight=2)
    >>> [candidate.name for candidate in policy.narrow([full, there])]
    ['b']

    """

    def __init__(self, region: str) -> None:
        self._region = region

    def narrow(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Return candidates with free slots, those of the own region first."""
        near = [
            candidate
            for candidate in candidates
            if candidate.region == self._region
        ]
        for group in (near, candidates):
            if any(candidate.has_free_slot for candidate in group):
                return [
                    candidate for candidate in group if candidate.has_free_slot
                ]
        # All are full. A queue in the own region uses no bandwidth of the link.
        return near or candidates
