"""Forwarding of callers' requests to replicas of services."""

from ladder_node.forwarding.attempts import CompleteResponse
from ladder_node.forwarding.forwarder import Forwarder
from ladder_node.forwarding.parts import ForwarderParts
from ladder_node.forwarding.selector import ReplicaSelector

__all__ = (
    'CompleteResponse',
    'Forwarder',
    'ForwarderParts',
    'ReplicaSelector',
)
