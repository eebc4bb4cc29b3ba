"""Control work for one named thing, done by the holder of its lease."""

from ladder_node.duties.doubts import VersionDoubts
from ladder_node.duties.keeper import LEASE_SECONDS, LeaseKeeper
from ladder_node.duties.lease import Lease, guard
from ladder_node.duties.lease_store import Holder
from ladder_node.duties.pools import PoolDuties
from ladder_node.duties.seeker import DutySeeker
from ladder_node.duties.spread import delay_acquisition, rank_node
from ladder_node.duties.weights import WeightRollout

__all__ = (
    'LEASE_SECONDS',
    'DutySeeker',
    'Holder',
    'Lease',
    'LeaseKeeper',
    'PoolDuties',
    'VersionDoubts',
    'WeightRollout',
    'delay_acquisition',
    'guard',
    'rank_node',
)
