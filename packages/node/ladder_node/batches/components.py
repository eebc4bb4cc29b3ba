"""What the holder of the duty works with."""

from collections.abc import Callable
from dataclasses import dataclass

from ladder_clients.objects import ObjectStore
from ladder_clients.replicas import ReplicaClient
from ladder_clients.table import PartitionedTable
from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService
from ladder_node.batches.store import BatchStore
from ladder_node.forwarding import Forwarder
from ladder_node.replicas import ReplicaBoard
from ladder_node.routes import ModelVersions, RouteCache


@dataclass(frozen=True, slots=True)
class OwnerComponents:
    """
    Parts of a node that the duty uses.

    Attributes
    ----------
    node : str
        Name of this node.
    store : BatchStore
        Keeps the batches.
    table : PartitionedTable
        The table service.
    objects : ObjectStore
        The object store.
    keep_seconds : float
        Time for which results are kept after a batch was accepted.
    client : ReplicaClient
        Speaks to engines.
    forwarder : Forwarder
        Passes the calls of scorers on.
    board : ReplicaBoard
        The replicas.
    routes : RouteCache
        The configuration.
    versions : ModelVersions
        The newest versions of models.
    is_outage_shared : callable
        Tells whether other nodes do not reach the table service either.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes each decision.

    """

    node: str
    store: BatchStore
    table: PartitionedTable
    objects: ObjectStore
    keep_seconds: float
    client: ReplicaClient
    forwarder: Forwarder
    board: ReplicaBoard
    routes: RouteCache
    versions: ModelVersions
    is_outage_shared: Callable[[], bool]
    timers: TimerService
    timeline: TimeLine
