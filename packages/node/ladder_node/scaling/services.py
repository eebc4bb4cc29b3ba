"""Services whose replicas are ordered, and the state of their replicas."""

from collections.abc import Sequence
from dataclasses import dataclass

from ladder_core.values import RouteKind, RouteTable, ScalingLimits
from ladder_node.replicas import ReplicaRecord, ReplicaRegistry
from ladder_node.scaling.demand import ServiceLoad
from ladder_node.scaling.pool import ReplicaPool
from ladder_policy.scaling import DataCentreState, ServiceState


@dataclass(frozen=True, slots=True)
class ScaledService:
    """
    A service whose replicas are ordered.

    Attributes
    ----------
    name : str
        Name of the service.
    limits : ScalingLimits
        Limits and prices of the configuration.
    allows_spot : bool
        Whether it runs tasks of batches only, whose texts survive the loss of
        a replica.

    """

    name: str
    limits: ScalingLimits
    allows_spot: bool


def list_scaled_services(table: RouteTable | None) -> list[ScaledService]:
    """Return the services with limits that run the tasks of batches."""
    if table is None:
        return []
    kinds: dict[str, set[bool]] = {}
    for route in table.list_routes():
        for share in route.shares:
            is_batch = route.kind is RouteKind.batch
            kinds.setdefault(share.service, set()).add(is_batch)
    return [
        ScaledService(name, service.scaling, kinds[name] == {True})
        for name, service in sorted(table.services.items())
        if service.scaling is not None and True in kinds.get(name, ())
    ]


class ServicePools:
    """
    The replicas of one service by data centre and kind.

    Parameters
    ----------
    service : str
        Name of the service.
    registry : ReplicaRegistry
        Lists the replicas.

    """

    def __init__(self, service: str, registry: ReplicaRegistry) -> None:
        self._service = service
        self._registry = registry
        self._pools: dict[tuple[str, bool], ReplicaPool] = {}

    def find(self, data_centre: str, *, is_spot: bool) -> ReplicaPool:
        """Return the replicas of one kind in a data centre."""
        return self._pools.setdefault((data_centre, is_spot), ReplicaPool())

    def observe(
        self, service: ScaledService, load: ServiceLoad, now: float
    ) -> ServiceState:
        """Return all that a decision depends on."""
        records = [
            record
            for record in self._registry.list_service(self._service)
            if not record.has_ended
        ]
        names = {record.replica.data_centre for record in records}
        return ServiceState(
            now,
            service.limits,
            load.demand,
            tuple(
                self._observe_data_centre(name, records, load, now)
                for name in sorted(names.union(service.limits.prices))
            ),
            service.allows_spot,
        )

    def _observe_data_centre(
        self,
        name: str,
        records: Sequence[ReplicaRecord],
        load: ServiceLoad,
        now: float,
    ) -> DataCentreState:
        regular, spot = (
            self.find(name, is_spot=is_spot).make_state(
                (
                    record
                    for record in records
                    if record.replica.data_centre == name
                    and record.replica.is_spot == is_spot
                ),
                load.running,
                now,
            )
            for is_spot in (False, True)
        )
        return DataCentreState(name, regular, spot)
