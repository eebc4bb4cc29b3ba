"""
Control tasks (duties) for the pools of engines.

Each duty is done by one node at a time, the holder of the lease of its name.
"""

from ladder_node.duties.doubts import VersionDoubtExchange
from ladder_node.duties.pools import PoolReconciler
from ladder_node.duties.weights import WeightRollout

__all__ = ('PoolReconciler', 'VersionDoubtExchange', 'WeightRollout')
