"""Write the events of a process to its log, within a rate."""

from loguru import logger
from prometheus_client import Counter

from ladder_core.timeline import Event
from ladder_core.timers import TimerService

# Lines of one kind that are written at once, and then each second. A burst
# of requests is told by its first lines and by the counters.
_BURST_LINES = 200
_LINES_PER_SECOND = 50

_dropped_counter = Counter(
    'ladder_log_lines_dropped_total',
    'Events that were counted and not written to the log',
    ('kind',),
)


class EventLog:
    """
    Log each event as one line, and count those beyond the rate of a kind.

    Parameters
    ----------
    timers : TimerService
        Source of time.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._rooms: dict[str, float] = {}
        self._filled_at = timers.now()

    def write(self, event: Event) -> None:
        """Log an event."""
        if not self._take(event.kind):
            _dropped_counter.labels(event.kind).inc()
            return
        logger.bind(subject=event.subject, **event.fields).info(event.kind)

    def _take(self, kind: str) -> bool:
        now = self._timers.now()
        gained = (now - self._filled_at) * _LINES_PER_SECOND
        self._filled_at = now
        self._rooms = {
            name: room + gained
            for name, room in self._rooms.items()
            if room + gained < _BURST_LINES
        }
        room = self._rooms.get(kind, _BURST_LINES)
        if room < 1:
            return False
        self._rooms[kind] = room - 1
        return True
