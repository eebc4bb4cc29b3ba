"""Events of a timeline, and the merge of several timelines."""

import heapq
from collections.abc import Iterable

import msgspec

from ladder_core.timeline.clock import HybridTime


class Event(msgspec.Struct, frozen=True):
    """
    Action or observation of a process.

    Attributes
    ----------
    stamp : HybridTime
        Hybrid logical time of the event, which gives the causal order.
    node : str
        Name of the process that recorded the event.
    kind : str
        Type of the event, as a fixed name with hyphens.
    subject : str
        Name of the entity concerned, for example a request or a replica.
    fields : dict of str to str
        Further details by name.

    """

    stamp: HybridTime
    node: str
    kind: str
    subject: str
    fields: dict[str, str] = {}


def merge_events(lists: Iterable[Iterable[Event]]) -> list[Event]:
    """
    Merge the events of several processes into one list in causal order.

    Parameters
    ----------
    lists : iterable of iterables of Event
        Events of each process, oldest first.

    Returns
    -------
    list of Event
        All events; events with equal timestamps are ordered by node name.

    """
    return list(heapq.merge(*lists, key=_make_sort_key))


def _make_sort_key(event: Event) -> tuple[HybridTime, str]:
    return (event.stamp, event.node)
