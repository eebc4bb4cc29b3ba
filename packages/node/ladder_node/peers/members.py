"""Which peers a node keeps a connection to."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import groupby

import xxhash

_SHORTCUTS = 2
_DELEGATES = 2
_CENTRE_STRIDE = 3


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """
    A node as its peers know it.

    Attributes
    ----------
    region, data_centre : str
        Where it stands.
    name : str
        Unique name.
    address : str
        ``ip:port`` where it listens to peers.

    """

    region: str
    data_centre: str
    name: str
    address: str


def choose_peers(me: Member, others: Iterable[Member]) -> tuple[Member, ...]:
    """
    Choose the peers that a node connects to.

    Explanation
    -----------
    Within a data centre each node connects to its successor on the ring of
    names, which keeps the graph connected, and to two others drawn by
    rendezvous hashing, which keeps its diameter logarithmic. Two delegates
    of each data centre, drawn the same way, connect to the delegates of the
    next data centre and of the one three further. The number of connections
    does not grow with the number of nodes.

    Parameters
    ----------
    me : Member
        The choosing node.
    others : iterable of Member
        All other nodes that may be reached.

    Returns
    -------
    tuple of Member
        At most seven peers.

    """
    members = sorted({*others, me})
    centres = [
        list(group)
        for _, group in groupby(members, key=lambda one: one.data_centre)
    ]
    index = next(at for at, centre in enumerate(centres) if me in centre)
    chosen = dict.fromkeys(_choose_near(me, centres[index]))
    delegates = list_delegates(centres[index])
    if me in delegates:
        chosen.update(
            dict.fromkeys(
                _choose_far(delegates.index(me), centres, index),
            ),
        )
    chosen.pop(me, None)
    return tuple(chosen)


def list_delegates(centre: Iterable[Member]) -> list[Member]:
    """Return the members that speak for their data centre."""
    ranked = sorted(centre, key=lambda one: _score(one.data_centre, one.name))
    return ranked[:_DELEGATES]


def _choose_near(me: Member, centre: list[Member]) -> list[Member]:
    if len(centre) == 1:
        return []
    successor = centre[(centre.index(me) + 1) % len(centre)]
    rest = [one for one in centre if one not in {me, successor}]
    rest.sort(key=lambda one: _score(me.name, one.name))
    return [successor, *rest[:_SHORTCUTS]]


def _choose_far(
    rank: int,
    centres: list[list[Member]],
    index: int,
) -> list[Member]:
    chosen = []
    for stride in (1, _CENTRE_STRIDE):
        centre = centres[(index + stride) % len(centres)]
        delegates = list_delegates(centre)
        chosen.append(delegates[rank % len(delegates)])
    return chosen


def _score(first: str, second: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{first} {second}'.encode())
