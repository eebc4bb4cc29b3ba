"""Interface and messages of clients of replicas of services and models."""

from ladder_clients.replicas.base import (
    DepartureRecorder,
    RateLimits,
    ReplicaClient,
)
from ladder_clients.replicas.messages import (
    CallerRequest,
    CallKind,
    OrderOutcome,
    TaskRequest,
    TextEvent,
    VersionOrder,
)

__all__ = (
    'CallKind',
    'CallerRequest',
    'DepartureRecorder',
    'OrderOutcome',
    'RateLimits',
    'ReplicaClient',
    'TaskRequest',
    'TextEvent',
    'VersionOrder',
)
