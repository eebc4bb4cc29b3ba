"""Assembly of the parts that observe the paths to replicas."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ladder_clients.exchanges import ConnectionPool
from ladder_clients.probes import TargetProbe, TcpProbe
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.members import Member
from ladder_node.replica_paths.comparer import PathComparer
from ladder_node.replica_paths.gateways import GatewayDirectory
from ladder_node.replica_paths.messages import PathSender
from ladder_node.replica_paths.monitor import ReplicaPaths
from ladder_node.replica_paths.probe import ComparedProbe
from ladder_node.replica_paths.relays import RelayDirectory
from ladder_node.replicas import ReplicaRegistry


@dataclass(frozen=True, slots=True)
class PathParts:
    """
    Parts of a node that observe its paths to replicas.

    Attributes
    ----------
    relays : RelayDirectory
        Lists the nodes through which a service may be reached.
    comparer : PathComparer
        Asks other nodes what they reach, and answers them.
    paths : ReplicaPaths
        Knows which services this node has lost its path to.
    probe : TargetProbe
        Tells replicas that have crashed from those that this node has lost
        its path to.
    gateways : GatewayDirectory
        Lists the nodes whose connections to replicas this one shares.

    """

    relays: RelayDirectory
    comparer: PathComparer
    paths: ReplicaPaths
    probe: TargetProbe
    gateways: GatewayDirectory


def make_path_parts(
    own: Member,
    list_members: Callable[[], Sequence[Member]],
    pool: ConnectionPool,
    registry: ReplicaRegistry,
    sender: PathSender,
    timers: TimerService,
    timeline: Timeline,
) -> PathParts:
    """Return the parts of a node, not started."""
    relays = RelayDirectory(own, list_members, timers)
    comparer = PathComparer(pool, registry, relays, sender, timers)
    paths = ReplicaPaths(pool, registry, relays, comparer, timers, timeline)
    probe = ComparedProbe(TcpProbe(timers), comparer, registry, paths.is_lost)
    gateways = GatewayDirectory(own, list_members, timers)
    return PathParts(relays, comparer, paths, probe, gateways)
