"""Events for material changes of what is learned of replicas."""

from prometheus_client import Counter

from ladder_core.timeline import Timeline
from ladder_policy.capacity import CapacityView

# A usual time that changes by less is no event.
_MATERIAL_RATIO = 1.3
# A shorter slow-down is usual, and no event.
_MIN_SLOW_SECONDS = 1
_MIN_SAMPLES = 10
_DIGITS = 6

_changes_counter = Counter(
    'ladder_capacity_changes_total',
    'Material changes of what is learned of replicas',
    ('change',),
)


class CapacityLog:
    """
    Record an event when the estimate of a replica changes materially.

    Parameters
    ----------
    timeline : Timeline
        Records the events.

    """

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._recorded: dict[tuple[str, str], CapacityView] = {}

    def check(self, replica: str, kind: str, view: CapacityView) -> None:
        """Compare an estimate with the one that was recorded last."""
        if view.samples < _MIN_SAMPLES:
            return
        before = self._recorded.get((replica, kind))
        change = _find_change(before, view)
        if not change:
            return
        self._recorded[replica, kind] = view
        _changes_counter.labels(change).inc()
        self._timeline.record(
            'capacity-changed',
            replica,
            change=change,
            request_kind=kind,
            seconds=round(view.usual_seconds, _DIGITS),
            fleet_seconds=round(view.fleet_seconds, _DIGITS),
            samples=view.samples,
            deviation=round(view.deviation, 3),
            slow_ratio=round(view.slow_ratio, 2),
            slow_for=round(view.slow_for, 2),
            limit=view.limit,
            limit_before=before.limit if before else view.limit,
        )

    def drop(self, replica: str) -> None:
        """Forget a replica that is not listed any more."""
        for key in tuple(self._recorded):
            if key[0] == replica:
                self._recorded.pop(key)


def _find_change(before: CapacityView | None, view: CapacityView) -> str:
    """Return the name of the change; empty for none that is material."""
    if before is None:
        return 'first'
    was_slow = before.slow_for >= _MIN_SLOW_SECONDS
    if was_slow != (view.slow_for >= _MIN_SLOW_SECONDS):
        return 'recovery' if was_slow else 'slow-down'
    if view.limit != before.limit:
        return 'limit'
    ratio = view.usual_seconds / before.usual_seconds
    is_material = not 1 / _MATERIAL_RATIO < ratio < _MATERIAL_RATIO
    return 'speed' if is_material else ''
