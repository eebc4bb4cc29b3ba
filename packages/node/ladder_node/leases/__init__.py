"""Leases: the right to do one named duty for a limited time."""

from ladder_node.leases.keeper import LeaseKeeper
from ladder_node.leases.lease import Lease, guard
from ladder_node.leases.seeker import DutySeeker
from ladder_node.leases.spread import choose_period, rank_node
from ladder_node.leases.store import Holder
from ladder_node.leases.term import LeaseTerm

__all__ = (
    'DutySeeker',
    'Holder',
    'Lease',
    'LeaseKeeper',
    'LeaseTerm',
    'choose_period',
    'guard',
    'rank_node',
)
