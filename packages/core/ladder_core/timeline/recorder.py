"""The bounded time line of one process."""

from collections import deque
from collections.abc import Callable
from itertools import islice

from ladder_core.timeline.clock import HybridClock, HybridTime
from ladder_core.timeline.event import Event

_CAPACITY_EVENTS = 4096


class TimeLine:
    """
    Keep the latest events of one process.

    Parameters
    ----------
    node : str
        Name of the process.
    clock : HybridClock
        Source of stamps.
    capacity : int, optional
        Number of events kept; the oldest are dropped first.
    sink : callable, optional
        Called with each event, for example to write it to the log.

    """

    def __init__(
        self,
        node: str,
        clock: HybridClock,
        capacity: int = _CAPACITY_EVENTS,
        sink: Callable[[Event], None] | None = None,
    ) -> None:
        self._node = node
        self._clock = clock
        self._sink = sink
        self._events: deque[Event] = deque(maxlen=capacity)

    @property
    def clock(self) -> HybridClock:
        """The clock that stamps the events."""
        return self._clock

    def record(self, kind: str, subject: str, **fields: object) -> None:
        """
        Add an event.

        Parameters
        ----------
        kind : str
            What happened.
        subject : str
            What it happened to.
        **fields : object
            Details, kept as text.

        """
        texts = {name: str(field) for name, field in fields.items()}
        event = Event(self._clock.tick(), self._node, kind, subject, texts)
        self._events.append(event)
        if self._sink is not None:
            self._sink(event)

    def read(self, after: HybridTime, limit: int) -> list[Event]:
        """
        Return the oldest events that come after a stamp.

        Parameters
        ----------
        after : HybridTime
            Stamp of the last event already read.
        limit : int
            Largest number of events to return.

        Returns
        -------
        list of Event
            At most `limit` events, oldest first.

        """
        newer = (event for event in self._events if event.stamp > after)
        return list(islice(newer, limit))
