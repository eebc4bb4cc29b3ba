"""Decisions on the number of replicas of a service."""

from ladder_policy.scaling.base import (
    DataCentreState,
    Demand,
    PoolState,
    ReplicaTarget,
    ScalingDecision,
    ScalingPolicy,
    ServiceState,
    TaskDemand,
)
from ladder_policy.scaling.burst import BurstScaling
from ladder_policy.scaling.fixed import FixedScaling
from ladder_policy.scaling.need import count_needed_engines
from ladder_policy.scaling.order_backoff import OrderBackoff

__all__ = (
    'BurstScaling',
    'DataCentreState',
    'Demand',
    'FixedScaling',
    'OrderBackoff',
    'PoolState',
    'ReplicaTarget',
    'ScalingDecision',
    'ScalingPolicy',
    'ServiceState',
    'TaskDemand',
    'count_needed_engines',
)
