"""Replicas of services that a node knows, with their observed health."""

from ladder_node.replicas.departures import Departures
from ladder_node.replicas.record import ReplicaRecord
from ladder_node.replicas.registry import ReplicaRegistry

__all__ = ('Departures', 'ReplicaRecord', 'ReplicaRegistry')
