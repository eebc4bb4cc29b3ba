"""Interface and messages of clients of the cloud interface."""

from ladder_clients.cloud.base import CloudClient
from ladder_clients.cloud.messages import (
    CallOutcome,
    DutyHolder,
    ReplicaOrder,
)

__all__ = ('CallOutcome', 'CloudClient', 'DutyHolder', 'ReplicaOrder')
