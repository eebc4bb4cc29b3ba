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
from ladder_clients.table import HttpTableClient, TableClient
from ladder_clients.transport import HttpClient
from ladder_core.settings import NodeSettings


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
    objects: ObjectStore
    weights: WeightStore
    hosts: HostList
    engines: EngineClient
    services: PlainServiceClient


def make_clients(settings: NodeSettings) -> Clients:
    """Return the clients that a node's settings call for."""
    http = HttpClient(f'{settings.region}/{settings.data_centre}')
    platform = settings.platform
    return Clients(
        http=http,
        table=HttpTableClient(http, platform.table),
        objects=HttpObjectStore(http, platform.objects),
        weights=HttpWeightStore(http, platform.weights),
        hosts=HttpHostList(http, platform.hosts),
        engines=HttpEngineClient(http),
        services=PlainServiceClient(http),
    )
