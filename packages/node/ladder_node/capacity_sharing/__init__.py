"""Exchange of learned durations between nodes of a data centre."""

from ladder_node.capacity_sharing.messages import (
    CAPACITY_PATH,
    CapacityQuestion,
    CapacityReply,
    CapacitySender,
    SharedEstimate,
    make_capacity_sender,
)
from ladder_node.capacity_sharing.sharing import CapacitySharing

__all__ = (
    'CAPACITY_PATH',
    'CapacityQuestion',
    'CapacityReply',
    'CapacitySender',
    'CapacitySharing',
    'SharedEstimate',
    'make_capacity_sender',
)
