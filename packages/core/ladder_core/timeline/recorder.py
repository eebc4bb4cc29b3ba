"""Bounded event timeline of one process."""

from collections import deque
from collections.abc import Callable
from itertools import islice

from ladder_core.timeline.clock import HybridClock, HybridTime
from ladder_core.timeline.event import Event

_CAPACITY_EVENTS = 4096


class Timeline:
    """
    Record the latest events of one process.

    Parameters
    ----------
    node : str
        Name of the process, stored in each event.
    clock : HybridClock
        Clock that gives each event its timestamp.
    capacity : int, optional
        Maximum number of events kept; the oldest are dropped first.
    sink : callable, optional
        Called with each new event, for example to write it to the log.

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
        """The clock that gives each event its timestamp."""
        return self._clock

    def record(self, kind: str, subject: str, **fields: object) -> None:
        """
        Record an event.

        Parameters
        ----------
        kind : str
            Type of the event, as a fixed name with hyphens.
        subject : str
            Name of the entity concerned, for example a request or a replica.
        **fields : object
            Further details by name; their values are converted to text.

        """
        texts = {name: str(field) for name, field in fields.items()}
        event = Event(self._clock.tick(), self._node, kind, subject, texts)
        self._events.append(event)
        if self._sink is not None:
            self._sink(event)

    def read(self, after: HybridTime, limit: int) -> list[Event]:
        """
        Return the oldest events that are later than a timestamp.

        Parameters
        ----------
        after : HybridTime
            Timestamp of the last event already read.
        limit : int
            Maximum number of events to return.

        Returns
        -------
        list of Event
            At most `limit` events, oldest first.

        """
        newer = (event for event in self._events if event.stamp > after)
        return list(islice(newer, limit))
