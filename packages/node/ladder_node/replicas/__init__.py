"""What a node knows of the replicas of services."""

from ladder_node.replicas.board import ReplicaBoard
from ladder_node.replicas.record import ReplicaRecord

__all__ = ('ReplicaBoard', 'ReplicaRecord')
