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

    """

    name: str
    version: int
    min_version: int = 0
    waiting: int = 0
    homes: Sequence[str] = ()


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
        ``idle``, ``needed`` or ``crowded``; shown on the timeline.

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
    While an engine loads weights, it refuses tasks of the model for about a
    second and pauses those that run. A home therefore loads while it runs no
    task of the model (reason ``idle``). If tasks wait and every engine that
    may run them is full, the load goes to an engine that has free slots and
    is excluded only by its old version: preferably to a home (``needed``),
    otherwise to any other engine (``crowded``).

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
    ['idle']
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
    ]
    homes = [engine for engine in behind if engine.name in need.homes]
    idle = [engine for engine in homes if not engine.running.get(need.name)]
    if idle and not _would_block(engines, need, idle):
        return [_decide(engine, need, 'idle') for engine in idle]
    if not need.waiting or _can_run(engines, need):
        return []
    for candidates, reason in ((homes, 'needed'), (behind, 'crowded')):
        chosen = _choose_outdated(candidates, need)
        if chosen is not None:
            return [_decide(chosen, need, reason)]
    return []


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


def _would_block(
    engines: Sequence[EngineStatus],
    need: ModelNeed,
    idle: Sequence[EngineStatus],
) -> bool:
    """Return whether only the idle engines can run waiting tasks."""
    if not need.waiting:
        return False
    names = {engine.name for engine in idle}
    others = [engine for engine in engines if engine.name not in names]
    return _can_run(idle, need) and not _can_run(others, need)


def _can_run(engines: Sequence[EngineStatus], need: ModelNeed) -> bool:
    return any(engine.can_run(need) for engine in engines)


def _decide(
    engine: EngineStatus,
    need: ModelNeed,
    reason: str,
) -> LoadDecision:
    return LoadDecision(engine.name, need.name, need.version, reason)
