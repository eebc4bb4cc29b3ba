"""
Rows that store leases in the table service.

Notes
-----
A lease's row is written only when the lease is acquired or released, so its
revision is stable while one holder has the lease, and a duty makes its writes
conditional on that revision. A holder renews all of its leases by one write
of its heartbeat row, whatever their number.

"""

import msgspec

from ladder_clients.table import Condition, Row, Write
from ladder_core.messages import decode_json

LEASES_TABLE = 'leases'
HEARTBEATS_TABLE = 'heartbeats'


class LeaseRow(msgspec.Struct, frozen=True):
    """
    The content of a lease's row.

    Attributes
    ----------
    holder : str
        Name of the holding node; empty for a released lease.
    address : str
        ``ip:port`` of the holder for callers.
    incarnation : str
        Key of the holder's heartbeat row; each process of a node has its own.
    epoch : int
        Number of acquisitions of the lease so far; its fencing token.
    successor : str
        Name of the node that a released lease is meant for; empty for any.

    """

    holder: str = ''
    address: str = ''
    incarnation: str = ''
    epoch: int = 0
    successor: str = ''


class Heartbeat(msgspec.Struct, frozen=True):
    """
    The content of a holder's heartbeat row.

    Attributes
    ----------
    holder : str
        Name of the holding node.
    count : int
        Number of renewals by the node's process so far.

    """

    holder: str
    count: int


def decode_lease(row: Row | None) -> LeaseRow:
    """Decode a lease's row; an absent row means that the lease is free."""
    if row is None:
        return LeaseRow()
    return decode_json(row.body, LeaseRow)


def make_lease_write(name: str, content: LeaseRow) -> Write:
    """Return the write of a lease's row."""
    return Write(LEASES_TABLE, name, _encode(content))


def make_heartbeat_write(incarnation: str, heartbeat: Heartbeat) -> Write:
    """Return the write of a holder's heartbeat row."""
    return Write(HEARTBEATS_TABLE, incarnation, _encode(heartbeat))


def require_revision(table: str, key: str, row: Row | None) -> Condition:
    """Return the condition that a row has not changed since it was read."""
    return Condition(table, key, row.revision if row else 0)


def _encode(content: msgspec.Struct) -> str:
    return msgspec.json.encode(content).decode()
