"""Which regions' targets a request may use."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from ladder_policy.routing import Candidate


class RegionPolicy(ABC):
    """Narrows the candidates of a request by their region."""

    @abstractmethod
    def narrow(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """
        Return the candidates to choose from.

        Parameters
        ----------
        candidates : sequence of Candidate
            At least one target.

        Returns
        -------
        sequence of Candidate
            At least one of them.

        """


class AnyRegion(RegionPolicy):
    """Use all regions alike: the plain way."""

    def narrow(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Return all candidates."""
        return candidates


class NearestRegion(RegionPolicy):
    """
    Leave the own region only when it has no room.

    Parameters
    ----------
    region : str
        Region of the node.

    Examples
    --------
    >>> here = Candidate('a', region='attica', batch_limit=2, in_flight=1)
    >>> there = Candidate('b', region='thessaloniki', batch_limit=2)
    >>> policy = NearestRegion('attica')
    >>> [one.name for one in policy.narrow([here, there])]
    ['a']
    >>> full = Candidate('a', region='attica', batch_limit=2, in_flight=2)
    >>> [one.name for one in policy.narrow([full, there])]
    ['b']

    """

    def __init__(self, region: str) -> None:
        self._region = region

    def narrow(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Return the near candidates if there is room, else those with any."""
        near = [one for one in candidates if one.region == self._region]
        for group in (near, candidates):
            if any(one.has_free_slot for one in group):
                return [one for one in group if one.has_free_slot]
        # A queue near by costs no bytes of the link.
        return near or candidates
