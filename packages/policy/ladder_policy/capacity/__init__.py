"""Learned speed and capacity of servers."""

from ladder_policy.capacity.base import (
    CapacityFleet,
    CapacityMode,
    CapacityView,
    ServerCapacity,
)
from ladder_policy.capacity.fixed import FixedFleet
from ladder_policy.capacity.kinds import (
    ReplicaCapacity,
    ServiceCapacity,
    TimeEstimate,
)
from ladder_policy.capacity.learned import LearnedCapacity, LearnedFleet

__all__ = (
    'CapacityFleet',
    'CapacityMode',
    'CapacityView',
    'FixedFleet',
    'LearnedCapacity',
    'LearnedFleet',
    'ReplicaCapacity',
    'ServerCapacity',
    'ServiceCapacity',
    'TimeEstimate',
)
