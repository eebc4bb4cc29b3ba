"""Control work for one named thing, done by the holder of its lease."""

from ladder_node.duties.weights import WeightDuty

__all__ = ('WeightDuty',)
