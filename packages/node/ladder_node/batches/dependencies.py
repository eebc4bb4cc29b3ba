"""Components of a node that running batches requires."""

from collections.abc import Callable
from dataclasses import dataclass

from ladder_clients.objects import ObjectStore
from ladder_clients.replicas import ReplicaClient
from ladder_clients.table import PartitionedTableClient
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.batches.demand import BatchAutoscaler
from ladder_node.batches.fitness import DutyFitness
from ladder_node.batches.store import BatchStore
from ladder_node.forwarding import Forwarder
from ladder_node.quarantine import CrashDetector
from ladder_node.replicas import ReplicaRegistry
from ladder_node.routes import ModelVersions, RouteCache, RouteConfirmation
from ladder_policy.capacity import CapacityMode


@dataclass(frozen=True, slots=True)
class OwnerDependencies:
    """
    Components of a node that the batch owner uses.

    Attributes
    ----------
    node : str
        Name of this node, written into the rows that fence the partitions.
    store : BatchStore
        Reads and writes the rows of batches.
    table : PartitionedTableClient
        Table service that holds the rows.
    objects : ObjectStore
        Object store that holds the tasks of large batches.
    result_retention_seconds : float
        Minimum time in seconds for which a batch and its results are kept
        after the acceptance.
    client : ReplicaClient
        Sends tasks and load orders to engines.
    forwarder : Forwarder
        Sends the calls that score texts, without a guard.
    detector : CrashDetector
        Logs crashes of replicas with the tasks that ran there.
    replica_registry : ReplicaRegistry
        State of all replicas as this node knows it.
    routes : RouteCache
        Current route configuration.
    confirmation : RouteConfirmation
        Confirms the configuration before a task is given up.
    versions : ModelVersions
        Newest weight version of each model.
    is_outage_shared : callable
        Returns whether the other nodes do not reach the table service either.
    fitness : DutyFitness
        Decides whether this node holds or takes the duty.
    timers : TimerService
        Clock for pauses and time limits.
    timeline : Timeline
        Records each decision.
    capacity_mode : CapacityMode, optional
        Whether the capacities of engines are learned.
    autoscaler : BatchAutoscaler or None
        Orders replicas while this node holds the duty; None if it should not.

    """

    node: str
    store: BatchStore
    table: PartitionedTableClient
    objects: ObjectStore
    result_retention_seconds: float
    client: ReplicaClient
    forwarder: Forwarder
    detector: CrashDetector
    replica_registry: ReplicaRegistry
    routes: RouteCache
    confirmation: RouteConfirmation
    versions: ModelVersions
    is_outage_shared: Callable[[], bool]
    fitness: DutyFitness
    timers: TimerService
    timeline: Timeline
    capacity_mode: CapacityMode = CapacityMode.learned
    autoscaler: BatchAutoscaler | None = None
