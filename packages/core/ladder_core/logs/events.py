"""Rate-limited logging of the events of a process."""

from loguru import logger
from prometheus_client import Counter

from ladder_core.timeline import Event
from ladder_core.timers import TimerService

# Token bucket of each kind of event: the number of lines that can be written
# at once, and the number added each second. A burst of requests is visible
# from its first lines and from the counters.
_BURST_LINES = 200
_LINES_PER_SECOND = 50

_dropped_counter = Counter(
    'ladder_log_lines_dropped_total',
    'Events that were counted and not written to the log',
    ('kind',),
)


class EventLog:
    """
    Write each event as one log line, up to a rate for each kind of event.

    Events beyond the rate are counted and not logged.

    Parameters
    ----------
    timers : TimerService
        Clock by which the token buckets are refilled.

    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._available_lines: dict[str, float] = {}
        self._refilled_at = timers.now()

    def write(self, event: Event) -> None:
        """Log an event, or count it if the rate of its kind is exceeded."""
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
