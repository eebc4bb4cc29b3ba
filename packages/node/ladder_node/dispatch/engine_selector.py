"""What is to be generated, and on which engine."""

from dataclasses import dataclass, field
from math import inf

from ladder_core.errors import TargetUnavailableError
from ladder_core.values import HostKind
from ladder_node.targets import Target, TargetTable
from ladder_policy.regions import RegionPolicy
from ladder_policy.routing import Candidate, TargetChooser

_RETRY_SECONDS = 1


@dataclass(frozen=True, slots=True)
class Generation:
    """
    What a caller or a step wants generated.

    Attributes
    ----------
    model : str
        Model to run.
    pools : tuple of str
        Pools whose engines may be used.
    data_centres : tuple of str
        Data centres that may be used; empty for all.
    prompt : str
        The prompt.
    max_tokens : int
        Largest number of tokens.
    seed : int
        Seed of the sampling.
    priority : int
        Lower values run first.
    prefix : str
        Text that an earlier run produced; generation goes on after it.
    prefix_tokens : int
        Number of tokens in `prefix`.
    excluded_engines : tuple of str
        Names of engines that are not used.
    min_version : int
        Engines that state an older version are used only if no other can be.
    tried_engines : list of str
        Takes the names of the engines that run the generation.
    deadline : float
        Seconds on the timer service's clock after which nobody waits.

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


class EngineSelector:
    """
    Choose an engine for each attempt of a generation.

    Parameters
    ----------
    targets : TargetTable
        What is known of the engines.
    chooser : TargetChooser
        Chooses among the engines.
    regions : RegionPolicy
        Narrows them by region before.

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
        """Return the engines that may run a generation now."""
        return [
            target
            for target in self._targets.list_available(HostKind.engine)
            if _is_usable(target, generation)
        ]

    def choose(self, generation: Generation) -> Target:
        """
        Return the engine for a generation.

        Raises
        ------
        TargetUnavailableError
            No engine may run it now.

        """
        usable = {
            target.entry.name: target for target in self.list_usable(generation)
        }
        if not usable:
            raise TargetUnavailableError(
                f'no engine of model {generation.model} is available',
                remedy='come back later',
                retry_after=_RETRY_SECONDS,
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
    """Leave out engines whose samples would be too old, if others are left."""
    fresh = [one for one in candidates if one.version >= min_version]
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
