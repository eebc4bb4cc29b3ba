"""When an engine loads the next weight version of a model."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

# Share of the engines that load at the same time without slowing each other
# down; by the deployments' sheets about two in five.
_MAX_LOADING_SHARE = 0.4
# Free slots for which a load is worth its price; fewer are free again before
# it is done.
_MIN_FREE_SLOTS = 4


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """
    What an engine holds and does.

    Attributes
    ----------
    name : str
        Name of the engine.
    versions : mapping of str to int
        Version of each model.
    running : mapping of str to int
        Tasks of each model that run.
    free_slots : int
        Tasks that it can take at once.
    loading : str
        Model whose next version is being loaded; empty for none.

    """

    name: str
    versions: Mapping[str, int]
    running: Mapping[str, int] = field(default_factory=dict)
    free_slots: int = 0
    loading: str = ''

    def can_run(self, need: 'ModelNeed') -> bool:
        """Whether it can take a waiting task of a model now."""
        return (
            self.free_slots > 0
            and self.loading != need.name
            and self.versions.get(need.name, 0) >= need.min_version
        )


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """
    What is needed of a model.

    Attributes
    ----------
    name : str
        Name of the model.
    version : int
        The newest version.
    min_version : int
        Oldest version that the waiting tasks allow.
    waiting : int
        Tasks that wait for a slot.
    homes : sequence of str
        Engines that are kept at the newest version.

    """

    name: str
    version: int
    min_version: int = 0
    waiting: int = 0
    homes: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class LoadDecision:
    """
    An order to give.

    Attributes
    ----------
    engine, model : str
        Who loads what.
    version : int
        The version.
    reason : str
        Why now.

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
    Return the loads to order now.

    Explanation
    -----------
    A load makes an engine refuse the model's tasks for about a second and
    halts those that run. So a home loads while it runs none of the model's
    tasks. When tasks wait and every engine that may run them is full, an
    engine loads that has free slots and only its version against it: a home
    first, then any other.

    Parameters
    ----------
    engines : sequence of EngineStatus
        Engines that can be used.
    needs : sequence of ModelNeed
        The models, the most urgent first.

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
    taken: set[str] = set()
    decisions: list[LoadDecision] = []
    for need in needs:
        for decision in _plan_model(engines, need):
            if len(decisions) < free and decision.engine not in taken:
                taken.add(decision.engine)
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
    """Return the freest engine that only its version keeps from the tasks."""
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
    """Return whether waiting tasks could run on the idle engines alone."""
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
