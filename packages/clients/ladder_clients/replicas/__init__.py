"""Interface and messages of clients of replicas of services and models."""

from ladder_clients.replicas.base import DepartureRecorder, ReplicaClient
from ladder_clients.replicas.messages import (
    CallerRequest,
    OrderOutcome,
    TaskRequest,
    TextEvent,
    VersionOrder,
)

__all__ = (
    'CallerRequest',
    'DepartureRecorder',
    'OrderOutcome',
    'ReplicaClient',
    'TaskRequest',
    'TextEvent',
    'VersionOrder',
)
