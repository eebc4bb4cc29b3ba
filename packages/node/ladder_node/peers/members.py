"""Choice of the peers that a node keeps connections to."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import groupby

import xxhash

_SHORTCUT_COUNT = 2
_DELEGATE_COUNT = 2
_DATA_CENTRE_STRIDE = 3


@dataclass(frozen=True, slots=True, order=True)
class PeerMember:
    """
    Name, location and address of a node, as its peers know them.

    Attributes
    ----------
    region, data_centre : str
        Location of the node.
    name : str
        Unique name of the node.
    address : str
        ``ip:port`` at which the node accepts connections of peers.

    """

    region: str
    data_centre: str
    name: str
    address: str


def choose_peers(
    local_member: PeerMember,
    others: Iterable[PeerMember],
) -> tuple[PeerMember, ...]:
    """
    Choose the peers that a node connects to.

    Explanation
    -----------
    Within a data centre, each node connects to its successor on the ring of
    names, which keeps the graph connected, and to two other nodes chosen by
    rendezvous hashing, which keeps the diameter logarithmic. Two delegates of
    each data centre, chosen in the same way, connect to delegates of the next
    data centre and of the third one after their own. The number of
    connections does not grow with the number of nodes.

    Parameters
    ----------
    local_member : PeerMember
        The node whose peers are chosen.
    others : iterable of PeerMember
        All other nodes that it can connect to.

    Returns
    -------
    tuple of PeerMember
        The chosen peers, at most seven.

    """
    members = sorted({*others, local_member})
    groups = [
        list(group)
        for _, group in groupby(members, key=lambda member: member.data_centre)
    ]
    group_index = next(
        position
        for position, group in enumerate(groups)
        if local_member in group
    )
    chosen = dict.fromkeys(
        _choose_local_peers(local_member, groups[group_index]),
    )
    delegates = list_delegates(groups[group_index])
    if local_member in delegates:
        chosen.update(
            dict.fromkeys(
                _choose_remote_peers(
                    delegates.index(local_member),
                    groups,
                    group_index,
                ),
            ),
        )
    chosen.pop(local_member, None)
    return tuple(chosen)


def list_delegates(members: Iterable[PeerMember]) -> list[PeerMember]:
    """Return the members that connect their data centre to others."""
    ranked = sorted(
        members,
        key=lambda member: _hash_pair(member.data_centre, member.name),
    )
    return ranked[:_DELEGATE_COUNT]


def _choose_local_peers(
    local_member: PeerMember,
    members: list[PeerMember],
) -> list[PeerMember]:
    if len(members) == 1:
        return []
    successor = members[(members.index(local_member) + 1) % len(members)]
    others = [
        member for member in members if member not in {local_member, successor}
    ]
    others.sort(key=lambda member: _hash_pair(local_member.name, member.name))
    return [successor, *others[:_SHORTCUT_COUNT]]


def _choose_remote_peers(
    rank: int,
    groups: list[list[PeerMember]],
    group_index: int,
) -> list[PeerMember]:
    chosen = []
    for stride in (1, _DATA_CENTRE_STRIDE):
        group = groups[(group_index + stride) % len(groups)]
        delegates = list_delegates(group)
        chosen.append(delegates[rank % len(delegates)])
    return chosen


def _hash_pair(first: str, second: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{first} {second}'.encode())
