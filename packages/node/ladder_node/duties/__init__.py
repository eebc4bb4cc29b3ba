"""Control work for one named thing, done by the holder of its lease."""

from ladder_node.duties.keeper import LEASE_SECONDS, LeaseKeeper
from ladder_node.duties.lease import Lease, guard
from ladder_node.duties.lease_store import Holder
from ladder_node.duties.spread import delay_acquisition, rank_node
from ladder_node.duties.weights import WeightDuty

__all__ = (
    'LEASE_SECONDS',
    'Holder',
    'Lease',
    'LeaseKeeper',
    'WeightDuty',
    'delay_acquisition',
    'guard',
    'rank_node',
)
