"""Least loaded, the lagging report corrected by what was sent."""

from collections.abc import Sequence

from ladder_policy.routing.base import Candidate, TargetChooser


class LeastLoadedChooser(TargetChooser):
    """
    Take the target with the smallest share of its batch in use.

    Notes
    -----
    The report lags, so what this node sent since, less what ended since, is
    added to it.

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
