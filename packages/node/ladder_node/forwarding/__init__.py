"""Pass callers' requests on to replicas of services."""

from ladder_node.forwarding.forwarder import Forwarder, WholeAnswer
from ladder_node.forwarding.selection import ReplicaSelection

__all__ = ('Forwarder', 'ReplicaSelection', 'WholeAnswer')
