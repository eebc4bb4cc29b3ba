"""Record the events of a step in metrics, the log and the timeline."""

from loguru import logger

from ladder_core.errors import LadderError
from ladder_core.timeline import Timeline
from ladder_core.values import Group
from ladder_node.steps.metrics import (
    GROUPS_HANDED_OVER,
    HEDGES_WON,
    SAMPLES_FAILED,
    SAMPLES_FINISHED,
    SAMPLES_HEDGED,
    SAMPLES_TOO_OLD,
    STALENESS,
    STEPS_OPEN,
)
from ladder_node.steps.pool import SampleKey
from ladder_node.steps.spec import StepSpec
from ladder_node.steps.staleness import StalenessGuard


class StepEvents:
    """
    Record the events of one step.

    Parameters
    ----------
    spec : StepSpec
        Step whose names label the events.
    timeline : Timeline
        Records the events for operators.

    """

    def __init__(self, spec: StepSpec, timeline: Timeline) -> None:
        self._spec = spec
        self._timeline = timeline

    def record_opened(self) -> None:
        """Record that the step runs on this node."""
        STEPS_OPEN.inc()
        self._timeline.record('step-opened', self._spec.name)

    def record_ended(self, reason: LadderError) -> None:
        """Record that the step no longer runs on this node."""
        STEPS_OPEN.dec()
        self._timeline.record('step-ended', self._spec.name, error=reason.kind)

    def record_finished(self) -> None:
        """Record a generated and scored sample."""
        SAMPLES_FINISHED.labels(self._spec.trainer).inc()

    def record_stale(self, key: SampleKey, guard: StalenessGuard) -> None:
        """Record a sample that was discarded as too old."""
        SAMPLES_TOO_OLD.labels(self._spec.trainer).inc()
        self._timeline.record(
            'sample-too-old',
            self._format_id(key),
            floor=guard.min_version,
            trainer=guard.version,
        )

    def record_hedged(self, key: SampleKey) -> None:
        """Record a hedged run of a straggler."""
        SAMPLES_HEDGED.labels(self._spec.trainer).inc()
        self._timeline.record('sample-hedged', self._format_id(key))

    def record_hedge_won(self, key: SampleKey) -> None:
        """Record a hedged run that finished before the first run."""
        HEDGES_WON.labels(self._spec.trainer).inc()
        self._timeline.record('hedge-won', self._format_id(key))

    def record_failure(self, key: SampleKey, error: Exception) -> None:
        """Record a failed attempt at a sample."""
        name = self._format_id(key)
        kind = 'defect'
        if isinstance(error, LadderError):
            kind = error.kind
            logger.warning('sample {} failed: {}', name, error)
        else:
            logger.opt(exception=error).error('sample {} failed', name)
        SAMPLES_FAILED.labels(self._spec.trainer, kind).inc()
        self._timeline.record('sample-failed', name, error=kind)

    def record_given_up(self, group: int, error: LadderError) -> None:
        """Record a group that is given up and will not be produced."""
        self._timeline.record(
            'group-given-up',
            f'{self._spec.name}/{group}',
            error=error.kind,
        )

    def record_handover(
        self,
        groups: tuple[Group, ...],
        guard: StalenessGuard,
    ) -> None:
        """Record the groups in the response to a pull."""
        trainer = self._spec.trainer
        GROUPS_HANDED_OVER.labels(trainer).inc(len(groups))
        for group in groups:
            staleness = guard.version - group.oldest_version
            STALENESS.labels(trainer).observe(max(0, staleness))

    def _format_id(self, key: SampleKey) -> str:
        return str(self._spec.identify(key.group, key.index))
