"""Clients with which a node calls the platform and targets."""

from dataclasses import dataclass

from ladder_clients.engines import EngineClient, HttpEngineClient
from ladder_clients.platform import (
    HostList,
    HttpHostList,
    HttpObjectStore,
    HttpWeightStore,
    ObjectStore,
    WeightStore,
)
from ladder_clients.services import ServiceClient
from ladder_clients.table import (
    ResilientTableClient,
    TableAdmission,
    TableClient,
)
from ladder_clients.table.http import HttpTableClient
from ladder_clients.transport import HttpClient
from ladder_core.settings import NodeSettings
from ladder_core.timers import TimerService

_CALL_TIMEOUT_SECONDS = 2
_LEASE_CALL_TIMEOUT_SECONDS = 6


@dataclass(frozen=True, slots=True)
class Clients:
    """
    Clients of the platform and of targets.

    Attributes
    ----------
    http : HttpClient
        Transport of all other clients; a child of the supervisor tree.
    table : TableClient
        Table service, with the short time-out of ordinary calls.
    lease_table : TableClient
        Table service for calls that acquire and renew leases; they tolerate
        late responses, so the time-out is longer.
    admission : TableAdmission
        Rate limits and circuit breaker that both table clients share.
    objects : ObjectStore
        Object store of the platform.
    weights : WeightStore
        Weight store of the platform.
    hosts : HostList
        Host list of the platform.
    engines : EngineClient
        Client of all engines.
    services : ServiceClient
        Client of services and scorers.

    """

    http: HttpClient
    table: TableClient
    lease_table: TableClient
    admission: TableAdmission
    objects: ObjectStore
    weights: WeightStore
    hosts: HostList
    engines: EngineClient
    services: ServiceClient


def make_clients(settings: NodeSettings, timers: TimerService) -> Clients:
    """Create the clients of a node from its settings."""
    http = HttpClient(f'{settings.region}/{settings.data_centre}')
    platform = settings.platform
    table = HttpTableClient(http, platform.table, _LEASE_CALL_TIMEOUT_SECONDS)
    admission = TableAdmission(timers)
    return Clients(
        http=http,
        table=ResilientTableClient(
            table, admission, timers, _CALL_TIMEOUT_SECONDS
        ),
        lease_table=ResilientTableClient(
            table,
            admission,
            timers,
            _LEASE_CALL_TIMEOUT_SECONDS,
            is_urgent=True,
        ),
        admission=admission,
        objects=HttpObjectStore(http, platform.objects),
        weights=HttpWeightStore(http, platform.weights),
        hosts=HttpHostList(http, platform.hosts),
        engines=HttpEngineClient(http),
        services=ServiceClient(http),
    )
