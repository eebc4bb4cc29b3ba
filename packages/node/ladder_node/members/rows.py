"""Rows of the nodes."""

import msgspec

from ladder_clients.table import Row, Write

MEMBERS_TABLE = 'members'
# A partition of their own, so that leases do not wait behind the rows of
# many nodes when the table is slow.
MEMBERS_PART = 'members'


class Member(msgspec.Struct, frozen=True):
    """
    One node, as it describes itself.

    Attributes
    ----------
    name : str
        Name of the node.
    address : str
        ``ip:port`` for callers.
    data_centre, region : str
        Where it stands.
    incarnation : str
        Another one after each start of its process.
    beats : int
        Counts its writes.
    is_leaving : bool
        Whether callers shall use other nodes.
    pause_seconds : float
        Time until the node writes again.
    peer_address : str
        ``ip:port`` for other nodes.
    capacity : float
        Processor of the host, in cores of usual speed.

    """

    name: str
    address: str
    data_centre: str
    region: str
    incarnation: str
    beats: int = 0
    is_leaving: bool = False
    pause_seconds: float = 0
    peer_address: str = ''
    capacity: float = 1


def decode_member(row: Row) -> Member:
    """
    Return the content of a node's row.

    Raises
    ------
    msgspec.DecodeError
        The row has another form.

    """
    return msgspec.json.decode(row.body, type=Member)


def make_member_write(member: Member) -> Write:
    """Return the write of a node's row."""
    body = msgspec.json.encode(member).decode()
    return Write(MEMBERS_TABLE, member.name, body, MEMBERS_PART)
