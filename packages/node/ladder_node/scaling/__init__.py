"""Orders of replicas by the demand of batches."""

from ladder_node.scaling.autoscaler import Autoscaler
from ladder_node.scaling.demand import DemandSource, ServiceLoad
from ladder_node.scaling.tenure import ScalingDependencies

__all__ = ('Autoscaler', 'DemandSource', 'ScalingDependencies', 'ServiceLoad')
