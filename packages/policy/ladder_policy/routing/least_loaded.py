"""Choose the least loaded target, with a correction for late reports."""

from collections.abc import Sequence

from ladder_policy.routing.base import Candidate, TargetChooser


class LeastLoadedChooser(TargetChooser):
    """
    Choose the target with the smallest share of its batch in use.

    Notes
    -----
    Load reports are late. Requests that this node has sent since the report
    are therefore added to the load, and those that have ended are subtracted.

    Examples
    --------
    >>> chooser = LeastLoadedChooser()
    >>> busy = Candidate('a', reported_load=4, batch_limit=8)
    >>> idle = Candidate('b', in_flight=1, batch_limit=8)
    >>> chooser.choose('', [busy, idle]).name
    'b'

    """

    def _choose(
        self,
        prompt: str,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        return min(candidates, key=_rank_by_load)


def _rank_by_load(candidate: Candidate) -> tuple[float, str]:
    return (candidate.load / candidate.batch_limit, candidate.name)
