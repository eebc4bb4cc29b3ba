"""Interface and messages of clients of replicas of services and models."""

from ladder_clients.replicas.base import (
    DepartureRecorder,
    PermitDenial,
    RateLimiter,
    ReplicaClient,
    Reservation,
)
from ladder_clients.replicas.exchanges import (
    DirectExchanges,
    ExchangeTerms,
    ReplicaExchanges,
)
from ladder_clients.replicas.messages import (
    CONTROL_PRIORITY,
    CallerRequest,
    CallKind,
    OrderOutcome,
    TaskRequest,
    TextEvent,
    VersionOrder,
)

__all__ = (
    'CONTROL_PRIORITY',
    'CallKind',
    'CallerRequest',
    'DepartureRecorder',
    'DirectExchanges',
    'ExchangeTerms',
    'OrderOutcome',
    'PermitDenial',
    'RateLimiter',
    'ReplicaClient',
    'ReplicaExchanges',
    'Reservation',
    'TaskRequest',
    'TextEvent',
    'VersionOrder',
)
