"""One event of the time line, and the merge of several nodes' events."""

import heapq
from collections.abc import Iterable

import msgspec

from ladder_core.timeline.clock import HybridTime


class Event(msgspec.Struct, frozen=True):
    """
    Something a process did or saw.

    Attributes
    ----------
    stamp : HybridTime
        Position in causal order.
    node : str
        Name of the process.
    kind : str
        What happened, as a fixed hyphenated name.
    subject : str
        The thing it happened to.
    fields : dict of str to str
        Details.

    """

    stamp: HybridTime
    node: str
    kind: str
    subject: str
    fields: dict[str, str] = {}


def merge_events(lists: Iterable[Iterable[Event]]) -> list[Event]:
    """
    Merge the nodes' events into one list in causal order.

    Parameters
    ----------
    lists : iterable of iterables of Event
        Each node's events, oldest first.

    Returns
    -------
    list of Event
        All events; those of equal stamps are ordered by node name.

    """
    return list(heapq.merge(*lists, key=_make_sort_key))


def _make_sort_key(event: Event) -> tuple[HybridTime, str]:
    return (event.stamp, event.node)
