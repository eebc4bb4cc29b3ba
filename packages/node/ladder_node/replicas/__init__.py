"""Knowledge of a node about the replicas of services."""

from ladder_node.replicas.record import ReplicaRecord
from ladder_node.replicas.registry import ReplicaRegistry

__all__ = ('ReplicaRecord', 'ReplicaRegistry')
