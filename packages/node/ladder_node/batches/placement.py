"""Assignment of the models of a service to its engines."""

import math
from collections.abc import Container, Iterable, Sequence

from ladder_core.timeline import Timeline
from ladder_node.batches.engines import TrackedEngine, find_shortest_token_time
from ladder_node.batches.open_batch import OpenBatch, Stage
from ladder_node.batches.registry import estimate_tokens
from ladder_node.routes import ModelVersions
from ladder_policy.scheduling import (
    LoadDecision,
    ModelNeed,
    assign_homes,
    plan_loads,
)

# Weight of the earlier batches in the moving average of a model's demand.
_DEMAND_DECAY = 0.7
# The step that follows a version arrives within this time after it is named, if
# its trainer is behind its plan.
_STEP_ARRIVAL_SECONDS = 0.5
# An engine that is slower than the fastest one by more than this factor is not
# assigned a model.
_MAX_SLOWDOWN = 2.5


class Placement:
    """
    Decide which engines load which models.

    The engines that are assigned to a model are its homes.

    Parameters
    ----------
    versions : ModelVersions
        Provides the newest weight version of each model.
    timeline : Timeline
        Records each change of the homes of a model.

    """

    def __init__(self, versions: ModelVersions, timeline: Timeline) -> None:
        self._versions = versions
        self._timeline = timeline
        self._demands: dict[str, float] = {}
        self._homes: dict[str, list[str]] = {}
        self._named: dict[str, tuple[int, float]] = {}

    def add_batch(self, batch: OpenBatch) -> None:
        """Add a batch to the moving average of its model's demand."""
        tokens = sum(estimate_tokens(task) for task in batch.tasks.values())
        model = batch.spec.model
        before = self._demands.get(model, tokens)
        demand = _DEMAND_DECAY * before + (1 - _DEMAND_DECAY) * tokens
        self._demands[model] = demand

    def plan(
        self,
        engines: Sequence[TrackedEngine],
        batches: Iterable[OpenBatch],
        waiting: Sequence[OpenBatch],
        one_version_models: Container[str],
        now: float,
    ) -> list[LoadDecision]:
        """
        Return the loads to order now.

        Parameters
        ----------
        engines : sequence of TrackedEngine
            Engines of the service that are neither lost nor leaving.
        batches : iterable of OpenBatch
            The open batches of the service.
        waiting : sequence of OpenBatch
            The batch of each waiting task, the most urgent task first.
        one_version_models : container of str
            Models whose texts have to be made by a single version.
        now : float
            Present time in seconds, at which token times are estimated.

        """
        if not engines or not self._demands:
            return []
        self._assign_homes(engines, now)
        statuses = [engine.make_status() for engine in engines]
        oldest = _find_min_versions(batches)
        order = dict.fromkeys(batch.spec.model for batch in waiting)
        counts = [batch.spec.model for batch in waiting]
        needs = [
            ModelNeed(
                model,
                self._versions.find(model),
                oldest.get(model, 0),
                counts.count(model),
                tuple(self._homes.get(model, ())),
                self._is_settled(model, now),
                model not in one_version_models,
            )
            for model in (*order, *(self._demands.keys() - order.keys()))
        ]
        return plan_loads(statuses, needs)

    def _is_settled(self, model: str, now: float) -> bool:
        """Return whether the newest version was named some time ago."""
        version = self._versions.find(model)
        known, named_at = self._named.get(model, (0, -math.inf))
        if known != version:
            # The first version was there before this node ran the batches.
            named_at = now if known else -math.inf
            self._named[model] = (version, named_at)
        return now - named_at >= _STEP_ARRIVAL_SECONDS

    def _assign_homes(
        self, engines: Sequence[TrackedEngine], now: float
    ) -> None:
        shortest_token_time = find_shortest_token_time(engines, now)
        ranked = sorted(
            engines, key=lambda engine: engine.estimate_token_time(now)
        )
        names = [
            engine.record.name
            for engine in ranked
            if engine.estimate_token_time(now)
            <= _MAX_SLOWDOWN * shortest_token_time
        ]
        homes = assign_homes(names, self._demands, self._homes)
        for model, chosen in homes.items():
            if set(chosen) != set(self._homes.get(model, ())):
                self._timeline.record(
                    'homes-assigned',
                    model,
                    engines=','.join(chosen),
                    demand=round(self._demands[model]),
                    usable=len(engines),
                )
        self._homes = homes


def _find_min_versions(batches: Iterable[OpenBatch]) -> dict[str, int]:
    """Return the oldest version that the waiting tasks of each model allow."""
    oldest: dict[str, int] = {}
    for batch in batches:
        if any(task.stage is Stage.waiting for task in batch.tasks.values()):
            model = batch.spec.model
            known = oldest.get(model, batch.spec.min_version)
            oldest[model] = min(known, batch.spec.min_version)
    return oldest
