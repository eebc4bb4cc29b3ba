"""Event timelines of processes, ordered by a hybrid logical clock."""

from ladder_core.timeline.clock import HybridClock, HybridTime
from ladder_core.timeline.event import Event, merge_events
from ladder_core.timeline.recorder import Timeline

__all__ = ('Event', 'HybridClock', 'HybridTime', 'Timeline', 'merge_events')
