"""
Time-limited leases on duties.

Notes
-----
A duty is a named piece of work that at most one node performs at a time. A
node performs it only while it holds the lease of that name.

"""

from ladder_node.leases.candidate import LeaseCandidate
from ladder_node.leases.lease import Lease, make_fencing_condition
from ladder_node.leases.manager import LeaseManager
from ladder_node.leases.ranking import choose_period, rank_node
from ladder_node.leases.store import LeaseHolder
from ladder_node.leases.term import LeaseTerm

__all__ = (
    'Lease',
    'LeaseCandidate',
    'LeaseHolder',
    'LeaseManager',
    'LeaseTerm',
    'choose_period',
    'make_fencing_condition',
    'rank_node',
)
