"""The clients of one node."""

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
from ladder_clients.services import PlainServiceClient
from ladder_clients.table import (
    ResilientTableClient,
    TableClient,
    TableGate,
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
        The transport of all others; a child of the supervisor tree.
    table : TableClient
        The table service.
    lease_table : TableClient
        The same service, for the calls that keep leases: they bear answers
        that come late.
    gate : TableGate
        The limits that both share.
    objects : ObjectStore
        The object store.
    weights : WeightStore
        The weight store.
    hosts : HostList
        The host list.
    engines : EngineClient
        Model engines.
    services : PlainServiceClient
        Plain services and scorers.

    """

    http: HttpClient
    table: TableClient
    lease_table: TableClient
    gate: TableGate
    objects: ObjectStore
    weights: WeightStore
    hosts: HostList
    engines: EngineClient
    services: PlainServiceClient


def make_clients(settings: NodeSettings, timers: TimerService) -> Clients:
    """Return the clients that a node's settings call for."""
    http = HttpClient(f'{settings.region}/{settings.data_centre}')
    platform = settings.platform
    table = HttpTableClient(http, platform.table, _LEASE_CALL_TIMEOUT_SECONDS)
    gate = TableGate(timers)
    return Clients(
        http=http,
        table=ResilientTableClient(table, gate, timers, _CALL_TIMEOUT_SECONDS),
        lease_table=ResilientTableClient(
            table,
            gate,
            timers,
            _LEASE_CALL_TIMEOUT_SECONDS,
            is_urgent=True,
        ),
        gate=gate,
        objects=HttpObjectStore(http, platform.objects),
        weights=HttpWeightStore(http, platform.weights),
        hosts=HttpHostList(http, platform.hosts),
        engines=HttpEngineClient(http),
        services=PlainServiceClient(http),
    )
