"""Requests for generations, and the selection of engines for them."""

from dataclasses import dataclass, field
from math import inf

from ladder_core.errors import TargetUnavailableError
from ladder_core.values import HostKind
from ladder_node.targets import Target, TargetTable
from ladder_policy.regions import RegionPolicy
from ladder_policy.routing import Candidate, TargetChooser

_RETRY_AFTER_SECONDS = 1


@dataclass(frozen=True, slots=True)
class Generation:
    """
    A generation that a caller or a training step requests.

    Attributes
    ----------
    model : str
        Name of the model to run.
    pools : tuple of str
        Pools whose engines may be used.
    data_centres : tuple of str
        Data centres whose engines may be used; empty for all.
    prompt : str
        Text that the model continues.
    max_tokens : int
        Largest number of tokens to generate, with those of `prefix`.
    seed : int
        Seed for the sampling of tokens.
    priority : int
        Lower values run first.
    prefix : str
        Text that an earlier run produced; generation continues after it.
    prefix_tokens : int
        Number of tokens in `prefix`.
    excluded_engines : tuple of str
        Names of engines that must not be used.
    min_version : int
        Engines that report an older weight version are used only if no other
        engine is usable.
    tried_engines : list of str
        Names of the engines that attempts were sent to; the selector
        appends to it.
    deadline : float
        Time on the timer service's clock, in seconds, after which the caller
        no longer waits.
    is_owed : bool
        Whether it is work of a training step. That is owed whatever crashed
        under it, so it is never refused as a cause of crashes.

    """

    model: str
    pools: tuple[str, ...]
    data_centres: tuple[str, ...]
    prompt: str
    max_tokens: int
    seed: int = 0
    priority: int = 0
    prefix: str = ''
    prefix_tokens: int = 0
    excluded_engines: tuple[str, ...] = ()
    min_version: int = 0
    tried_engines: list[str] = field(default_factory=list)
    deadline: float = inf
    is_owed: bool = False


class EngineSelector:
    """
    Select an engine for each attempt of a generation.

    Parameters
    ----------
    targets : TargetTable
        States of the engines.
    chooser : TargetChooser
        Chooses one of the usable engines, by load or another rule.
    regions : RegionPolicy
        Narrows the usable engines by region before the choice.

    """

    def __init__(
        self,
        targets: TargetTable,
        chooser: TargetChooser,
        regions: RegionPolicy,
    ) -> None:
        self._targets = targets
        self._chooser = chooser
        self._regions = regions

    def list_usable(self, generation: Generation) -> list[Target]:
        """Return the available engines that a generation may use."""
        return [
            target
            for target in self._targets.list_available(HostKind.engine)
            if _is_usable(target, generation)
        ]

    def choose(self, generation: Generation) -> Target:
        """
        Return the engine for the next attempt of a generation.

        Raises
        ------
        TargetUnavailableError
            No usable engine is available.

        """
        usable = {
            target.entry.name: target for target in self.list_usable(generation)
        }
        if not usable:
            raise TargetUnavailableError(
                f'no engine of model {generation.model} is available',
                remedy='come back later',
                retry_after=_RETRY_AFTER_SECONDS,
            )
        candidates = [_make_candidate(target) for target in usable.values()]
        fresh = _prefer_fresh(candidates, generation.min_version)
        near = self._regions.narrow(fresh)
        chosen = self._chooser.choose(generation.prompt, near)
        generation.tried_engines.append(chosen.name)
        return usable[chosen.name]


def _prefer_fresh(
    candidates: list[Candidate],
    min_version: int,
) -> list[Candidate]:
    """Exclude engines with too old a version, unless no others are left."""
    fresh = [
        candidate
        for candidate in candidates
        if candidate.version >= min_version
    ]
    return fresh or candidates


def _is_usable(target: Target, generation: Generation) -> bool:
    entry = target.entry
    if entry.model != generation.model or entry.pool not in generation.pools:
        return False
    if entry.name in generation.excluded_engines:
        return False
    centres = generation.data_centres
    return not centres or entry.data_centre in centres


def _make_candidate(target: Target) -> Candidate:
    entry, state = target.entry, target.state
    if state is None:
        return Candidate(
            entry.name, in_flight=target.in_flight, region=entry.region
        )
    return Candidate(
        entry.name,
        reported_load=state.running + state.queued,
        in_flight=target.in_flight,
        batch_limit=state.batch_limit,
        version=state.version,
        in_flight_at_report=target.in_flight_at_report,
        region=entry.region,
    )
