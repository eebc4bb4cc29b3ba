"""Decide when an engine loads the next weight version of a model."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

# Share of the engines that can load at the same time without slowing each other
# down; the data sheets of the deployments give about two in five.
_MAX_LOADING_SHARE = 0.4
# Smallest number of free slots for which a load pays off; fewer slots become
# free by themselves before the load is complete.
_MIN_FREE_SLOTS = 4


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """
    Models that an engine has loaded, and what it is doing.

    Attributes
    ----------
    name : str
        Name of the engine, which homes of models refer to.
    versions : mapping of str to int
        Loaded weight version of each model.
    running : mapping of str to int
        Number of running tasks of each model.
    free_slots : int
        Number of tasks that the engine can start now.
    loading : str
        Model whose next version is being loaded; empty for none.

    """

    name: str
    versions: Mapping[str, int]
    running: Mapping[str, int] = field(default_factory=dict)
    free_slots: int = 0
    loading: str = ''

    def can_run(self, need: 'ModelNeed') -> bool:
        """Return whether the engine can start a waiting task of a model."""
        return (
            self.free_slots > 0
            and self.loading != need.name
            and self.versions.get(need.name, 0) >= need.min_version
        )


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """
    Requirements of the waiting tasks of a model.

    Attributes
    ----------
    name : str
        Name of the model, a key of the mappings of each engine.
    version : int
        The newest weight version.
    min_version : int
        Oldest version that the waiting tasks allow.
    waiting : int
        Number of tasks that wait for a slot.
    homes : sequence of str
        Names of the engines that are kept at the newest version.
    is_settled : bool
        Whether the step that follows the newest version has had time to
        arrive. It comes at the moment at which the version is named.
    mixes_versions : bool
        Whether a text may be made by several versions, so that an engine can
        load while texts of the model run on it.

    """

    name: str
    version: int
    min_version: int = 0
    waiting: int = 0
    homes: Sequence[str] = ()
    is_settled: bool = True
    mixes_versions: bool = True


@dataclass(frozen=True, slots=True)
class LoadDecision:
    """
    An order to load a weight version.

    Attributes
    ----------
    engine, model : str
        Engine that gets the order, and model whose weights it loads.
    version : int
        Weight version to load.
    reason : str
        ``ahead``, ``needed`` or ``crowded``; shown on the timeline.

    """

    engine: str
    model: str
    version: int
    reason: str


def plan_loads(
    engines: Sequence[EngineStatus],
    needs: Sequence[ModelNeed],
) -> list[LoadDecision]:
    """
    Return the loads that are to be ordered now.

    Explanation
    -----------
    For the second that an engine needs to load weights, it starts no task of
    the model; texts that run on it go on. A home is therefore loaded while no
    task of the model waits for a slot (reason ``ahead``), and at most half of
    the homes at a time, so that a step that arrives meanwhile starts at once
    on the version before, which it allows.

    If tasks wait that no engine can start now, homes that are excluded by
    their old version are loaded (``needed``), or else any other engine that
    has free slots (``crowded``).

    Parameters
    ----------
    engines : sequence of EngineStatus
        Engines that can be used.
    needs : sequence of ModelNeed
        Requirements of the models, the most urgent first.

    Examples
    --------
    >>> idle = EngineStatus('idle', {'m': 1}, free_slots=8)
    >>> busy = EngineStatus('busy', {'m': 1}, {'m': 4}, free_slots=4)
    >>> need = ModelNeed('m', 2, min_version=1, homes=['idle', 'busy'])
    >>> [load.engine for load in plan_loads([idle, busy], [need])]
    ['busy']
    >>> need = ModelNeed('m', 2, min_version=2, waiting=3, homes=['busy'])
    >>> [load.engine for load in plan_loads([busy], [need])]
    ['busy']
    >>> full = EngineStatus('full', {'m': 2}, {'m': 8})
    >>> need = ModelNeed('m', 3, min_version=2, waiting=9, homes=['full'])
    >>> [load.engine for load in plan_loads([full], [need])]
    []

    """
    limit = max(math.ceil(len(engines) * _MAX_LOADING_SHARE), 1)
    free = limit - sum(bool(engine.loading) for engine in engines)
    ordered: set[str] = set()
    decisions: list[LoadDecision] = []
    for need in needs:
        for decision in _plan_model(engines, need):
            if len(decisions) < free and decision.engine not in ordered:
                ordered.add(decision.engine)
                decisions.append(decision)
    return decisions


def _plan_model(
    engines: Sequence[EngineStatus],
    need: ModelNeed,
) -> list[LoadDecision]:
    behind = [
        engine
        for engine in engines
        if not engine.loading
        and engine.versions.get(need.name, 0) < need.version
        and (need.mixes_versions or not engine.running.get(need.name))
    ]
    homes = [engine for engine in behind if engine.name in need.homes]
    if need.waiting and not _can_run(engines, need):
        return _plan_needed(homes, behind, need)
    if not need.is_settled:
        return []
    loading = sum(engine.loading == need.name for engine in engines)
    count = max(len(need.homes) // 2, 1) - loading
    spare = sorted(
        (
            engine
            for engine in homes
            if not need.waiting or not engine.can_run(need)
        ),
        key=lambda engine: (engine.free_slots, engine.name),
    )
    return [_decide(engine, need, 'ahead') for engine in spare[: max(count, 0)]]


def _plan_needed(
    homes: Sequence[EngineStatus],
    behind: Sequence[EngineStatus],
    need: ModelNeed,
) -> list[LoadDecision]:
    """Return the loads for tasks that wait and that no engine can start."""
    excluded = [
        engine
        for engine in homes
        if engine.versions.get(need.name, 0) < need.min_version
    ]
    if excluded:
        return [_decide(engine, need, 'needed') for engine in excluded]
    chosen = _choose_outdated(behind, need)
    return [_decide(chosen, need, 'crowded')] if chosen else []


def _choose_outdated(
    candidates: Sequence[EngineStatus],
    need: ModelNeed,
) -> EngineStatus | None:
    """Return the outdated engine with the most free slots, if it has enough."""
    outdated = [
        engine
        for engine in candidates
        if engine.versions.get(need.name, 0) < need.min_version
        and engine.free_slots >= min(need.waiting, _MIN_FREE_SLOTS)
    ]
    return max(outdated, key=lambda engine: engine.free_slots, default=None)


def _can_run(engines: Sequence[EngineStatus], need: ModelNeed) -> bool:
    return any(engine.can_run(need) for engine in engines)


def _decide(
    engine: EngineStatus,
    need: ModelNeed,
    reason: str,
) -> LoadDecision:
    return LoadDecision(engine.name, need.name, need.version, reason)
