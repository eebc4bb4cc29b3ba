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
        self._available_lines: dict[str, float] = {}
        self._refilled_at = timers.now()

    def write(self, event: Event) -> None:
        """Log an event."""
        if not self._try_consume(event.kind):
            _dropped_counter.labels(event.kind).inc()
            return
        logger.bind(subject=event.subject, **event.fields).info(event.kind)

    def _try_consume(self, kind: str) -> bool:
        now = self._timers.now()
        refill = (now - self._refilled_at) * _LINES_PER_SECOND
        self._refilled_at = now
        self._available_lines = {
            name: available + refill
            for name, available in self._available_lines.items()
            if available + refill < _BURST_LINES
        }
        available = self._available_lines.get(kind, _BURST_LINES)
        if available < 1:
            return False
        self._available_lines[kind] = available - 1
        return True
