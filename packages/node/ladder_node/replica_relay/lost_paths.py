"""End what waits for replicas on a path that was lost."""

from ladder_clients.exchanges import BrokenPathError, ConnectionPool
from ladder_core.timeline import Timeline
from ladder_node.replica_paths import ReplicaPaths
from ladder_node.replicas import ReplicaRecord, ReplicaRegistry


class LostPathHandler:
    """
    Let requests leave a path as soon as it is known to be lost.

    Explanation
    -----------
    On a silent path no answer is to be expected, so exchanges that may be
    repeated end at once; those that run only once are left to wait. Failures
    that were due to the path are not held against the replicas.

    Parameters
    ----------
    pool : ConnectionPool
        Connections of this host to replicas.
    registry : ReplicaRegistry
        Replicas that this node knows.
    paths : ReplicaPaths
        Services whose path is lost.
    timeline : Timeline
        Records what was ended.

    """

    def __init__(
        self,
        pool: ConnectionPool,
        registry: ReplicaRegistry,
        paths: ReplicaPaths,
        timeline: Timeline,
    ) -> None:
        self._pool = pool
        self._registry = registry
        self._paths = paths
        self._timeline = timeline
        self._handled: frozenset[str] = frozenset()

    def update(self) -> None:
        """Handle the paths that were lost or are back since the last call."""
        lost = frozenset(self._paths.list_lost())
        for service in lost ^ self._handled:
            records = self._registry.list_service(service)
            for record in records:
                record.forget_failures()
            if service in lost and self._paths.find_path(service).is_silent:
                self._end_exchanges(service, records)
        self._handled = lost

    def _end_exchanges(
        self, service: str, records: list[ReplicaRecord]
    ) -> None:
        ended = 0
        for record in records:
            address = record.replica.address
            self._pool.close_address(address)
            for connection in self._pool.list_connections(address):
                if connection.runs_once or not connection.is_open:
                    continue
                ended += 1
                connection.abort(
                    BrokenPathError(
                        f'the path to {service} was lost',
                        remedy='send the request by another path',
                    )
                )
        self._timeline.record('path-left', service, exchanges=ended)
