"""Pass callers' requests on to replicas of services."""

from ladder_node.forwarding.forwarder import Forwarder
from ladder_node.forwarding.selection import ReplicaSelection
from ladder_node.forwarding.tries import WholeAnswer

__all__ = ('Forwarder', 'ReplicaSelection', 'WholeAnswer')
