"""Rows in which nodes publish themselves."""

import math

import msgspec

from ladder_clients.addresses import split_address
from ladder_clients.table import Row, Write
from ladder_core.messages import decode_json

MEMBERS_TABLE = 'members'
# The rows have a partition of their own, so that leases don't wait behind the
# rows of many nodes when the table service is slow.
MEMBERS_PART = 'members'


class Member(msgspec.Struct, frozen=True):
    """
    Description of a node, published by the node itself.

    Attributes
    ----------
    name : str
        Name of the node, the key of its row.
    address : str
        ``ip:port`` at which the node accepts callers.
    data_centre, region : str
        Location of the node.
    incarnation : str
        Identifier that changes with each start of the process.
    beats : int
        Number of heartbeats that the node has written.
    is_leaving : bool
        Whether callers are to use other nodes.
    pause_seconds : float
        Time until the next heartbeat of the node.
    peer_address : str
        ``ip:port`` at which the node accepts other nodes.
    capacity : float
        Processing capacity of the host, in cores of standard speed.
    service_wrote_at : int or None
        Time of the heartbeat in milliseconds, by the clock of the table
        service; None if the node did not know it.
    lost_services : tuple of str
        Services that other nodes reach and this one doesn't.
    is_gateway : bool
        Whether the node sends requests to replicas for other nodes of its data
        centre, to share its connections.

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
    service_wrote_at: int | None = None
    lost_services: tuple[str, ...] = ()
    is_gateway: bool = False


def decode_member(row: Row) -> Member:
    """
    Return the node that a row describes.

    Raises
    ------
    ValueError
        The body of the row is not a valid description of a node.

    """
    member = decode_json(row.body, Member)
    for address in (member.address, member.peer_address):
        if address:
            split_address(address)
    if not 0 < member.capacity < math.inf:
        raise ValueError(f'a capacity of {member.capacity} cores')
    return member


def make_member_write(member: Member) -> Write:
    """Return the write that publishes a node."""
    body = msgspec.json.encode(member).decode()
    return Write(MEMBERS_TABLE, member.name, body, MEMBERS_PART)
