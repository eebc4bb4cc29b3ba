"""Control work for one named thing, done by the holder of its lease."""

from ladder_node.duties.doubts import VersionDoubtExchange
from ladder_node.duties.pools import PoolReconciler
from ladder_node.duties.weights import WeightRollout

__all__ = ('PoolReconciler', 'VersionDoubtExchange', 'WeightRollout')
