"""Keep the models of a service at home on some of its engines."""

from collections.abc import Iterable, Sequence

from ladder_core.timeline import TimeLine
from ladder_node.batches.book import estimate_tokens
from ladder_node.batches.engines import EngineState, find_quickest
from ladder_node.batches.work import BatchWork, Stage
from ladder_node.routes import ModelVersions
from ladder_policy.rollouts import (
    LoadDecision,
    ModelNeed,
    assign_homes,
    plan_loads,
)

# Share that older batches keep in a model's demand.
_OLDER_SHARE = 0.7
# A slower engine is no home while there are others.
_SLOW_RATIO = 2.5


class Placement:
    """
    Decide which engines hold which models.

    Parameters
    ----------
    versions : ModelVersions
        The newest version of each model.
    timeline : TimeLine
        Takes each change of homes.

    """

    def __init__(self, versions: ModelVersions, timeline: TimeLine) -> None:
        self._versions = versions
        self._timeline = timeline
        self._demands: dict[str, float] = {}
        self._homes: dict[str, list[str]] = {}

    def note_batch(self, batch: BatchWork) -> None:
        """Take a batch into the demand of its model."""
        tokens = sum(estimate_tokens(work) for work in batch.tasks.values())
        model = batch.spec.model
        before = self._demands.get(model, tokens)
        demand = _OLDER_SHARE * before + (1 - _OLDER_SHARE) * tokens
        self._demands[model] = demand

    def plan(
        self,
        engines: Sequence[EngineState],
        batches: Iterable[BatchWork],
        waiting: Sequence[BatchWork],
        now: float,
    ) -> list[LoadDecision]:
        """
        Return the loads to order now.

        Parameters
        ----------
        engines : sequence of EngineState
            Engines that can be used.
        batches : iterable of BatchWork
            The open batches.
        waiting : sequence of BatchWork
            The batch of each task that waits, the most urgent first.
        now : float
            Seconds.

        """
        if not engines or not self._demands:
            return []
        self._assign(engines, now)
        holdings = [engine.describe() for engine in engines]
        return plan_loads(holdings, self._list_needs(batches, waiting))

    def _assign(self, engines: Sequence[EngineState], now: float) -> None:
        quickest = find_quickest(engines, now)
        ranked = sorted(engines, key=lambda engine: engine.find_pace(now))
        names = [
            engine.record.name
            for engine in ranked
            if engine.find_pace(now) <= _SLOW_RATIO * quickest
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

    def _list_needs(
        self,
        batches: Iterable[BatchWork],
        waiting: Sequence[BatchWork],
    ) -> list[ModelNeed]:
        oldest: dict[str, int] = {}
        for batch in batches:
            if any(
                work.stage is Stage.waiting for work in batch.tasks.values()
            ):
                model = batch.spec.model
                known = oldest.get(model, batch.spec.min_version)
                oldest[model] = min(known, batch.spec.min_version)
        order = dict.fromkeys(batch.spec.model for batch in waiting)
        counts = [batch.spec.model for batch in waiting]
        return [
            ModelNeed(
                model,
                self._versions.find(model),
                oldest.get(model, 0),
                counts.count(model),
                tuple(self._homes.get(model, ())),
            )
            for model in (*order, *(self._demands.keys() - order.keys()))
        ]
