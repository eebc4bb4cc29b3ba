"""Which peers a node keeps a connection to."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import groupby

import xxhash

_SHORTCUT_COUNT = 2
_DELEGATE_COUNT = 2
_DATA_CENTRE_STRIDE = 3


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


def choose_peers(
    local_member: Member,
    others: Iterable[Member],
) -> tuple[Member, ...]:
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
    local_member : Member
        The choosing node.
    others : iterable of Member
        All other nodes that may be reached.

    Returns
    -------
    tuple of Member
        At most seven peers.

    """
    members = sorted({*others, local_member})
    groups = [
        list(group)
        for _, group in groupby(members, key=lambda one: one.data_centre)
    ]
    index = next(at for at, group in enumerate(groups) if local_member in group)
    chosen = dict.fromkeys(_choose_local_peers(local_member, groups[index]))
    delegates = list_delegates(groups[index])
    if local_member in delegates:
        chosen.update(
            dict.fromkeys(
                _choose_remote_peers(
                    delegates.index(local_member),
                    groups,
                    index,
                ),
            ),
        )
    chosen.pop(local_member, None)
    return tuple(chosen)


def list_delegates(members: Iterable[Member]) -> list[Member]:
    """Return the members that speak for their data centre."""
    ranked = sorted(
        members,
        key=lambda one: _hash_pair(one.data_centre, one.name),
    )
    return ranked[:_DELEGATE_COUNT]


def _choose_local_peers(
    local_member: Member,
    members: list[Member],
) -> list[Member]:
    if len(members) == 1:
        return []
    successor = members[(members.index(local_member) + 1) % len(members)]
    rest = [one for one in members if one not in {local_member, successor}]
    rest.sort(key=lambda one: _hash_pair(local_member.name, one.name))
    return [successor, *rest[:_SHORTCUT_COUNT]]


def _choose_remote_peers(
    rank: int,
    groups: list[list[Member]],
    index: int,
) -> list[Member]:
    chosen = []
    for stride in (1, _DATA_CENTRE_STRIDE):
        group = groups[(index + stride) % len(groups)]
        delegates = list_delegates(group)
        chosen.append(delegates[rank % len(delegates)])
    return chosen


def _hash_pair(first: str, second: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{first} {second}'.encode())
