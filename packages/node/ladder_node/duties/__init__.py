"""Control work for one named thing, done by the holder of its lease."""

from ladder_node.duties.doubts import VersionDoubts
from ladder_node.duties.pools import PoolDuties
from ladder_node.duties.weights import WeightRollout

__all__ = ('PoolDuties', 'VersionDoubts', 'WeightRollout')
