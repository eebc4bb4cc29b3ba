"""The parts of a node that send requests to targets."""

from dataclasses import dataclass

from ladder_clients.transport import TcpProbe
from ladder_core.settings import NodeSettings, RoutingPolicy
from ladder_core.supervision import Service, Supervisor
from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService
from ladder_node.app.clients import Clients
from ladder_node.dispatch import (
    BudgetedRetries,
    CrashGuard,
    GenerationDispatcher,
    IdempotentDispatcher,
    IntentCleaner,
    IntentLog,
    IntentWriter,
    ServiceDispatcher,
    SharedSuspectRegistry,
)
from ladder_node.peers import Gossip
from ladder_node.targets import TargetTable
from ladder_policy.regions import NearestRegion
from ladder_policy.routing import (
    LeastLoadedChooser,
    PrefixAffinityChooser,
    RoundRobinChooser,
    TargetChooser,
)


@dataclass(frozen=True, slots=True)
class Dispatchers:
    """
    The ways to targets.

    Attributes
    ----------
    generations : GenerationDispatcher
        Runs generations.
    services : ServiceDispatcher
        Calls plain services and scorers.
    keyed : IdempotentDispatcher
        Calls plain services at most once for each idempotency key.
    children : Service
        What they need to be started and closed.

    """

    generations: GenerationDispatcher
    services: ServiceDispatcher
    keyed: IdempotentDispatcher
    children: Service


@dataclass(frozen=True, slots=True)
class DispatchParts:
    """
    What the dispatchers are built from.

    Attributes
    ----------
    settings : NodeSettings
        The node's settings.
    clients : Clients
        Clients of the platform and of targets.
    targets : TargetTable
        What is known of targets.
    gossip : Gossip
        Spreads what nodes should know.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        The node's events.

    """

    settings: NodeSettings
    clients: Clients
    targets: TargetTable
    gossip: Gossip
    timers: TimerService
    timeline: TimeLine


def make_dispatchers(parts: DispatchParts) -> Dispatchers:
    """Return the dispatchers of a node."""
    clients, timers = parts.clients, parts.timers
    board = SharedSuspectRegistry(clients.table, parts.gossip, timers)
    guard = CrashGuard(board, TcpProbe(timers), timers, parts.timeline)
    retries = BudgetedRetries(timers)
    generations = GenerationDispatcher(
        parts.targets,
        clients.engines,
        _make_chooser(parts.settings.policies.routing),
        timers,
        guard,
        retries,
        NearestRegion(parts.settings.region),
    )
    services = ServiceDispatcher(
        parts.targets,
        clients.services,
        guard,
        retries,
    )
    children = Supervisor('requests', timers)
    children.add(board)
    children.add(generations)
    keyed = IdempotentDispatcher(
        services,
        _make_log(parts, children),
        parts.timeline,
    )
    return Dispatchers(generations, services, keyed, children)


def _make_log(parts: DispatchParts, children: Supervisor) -> IntentLog:
    table, timers = parts.clients.table, parts.timers
    writer = IntentWriter(table, timers)
    children.add(writer)
    children.add(IntentCleaner(table, timers, parts.settings.name))
    return IntentLog(table, writer, timers)


def _make_chooser(policy: RoutingPolicy) -> TargetChooser:
    if policy is RoutingPolicy.round_robin:
        return RoundRobinChooser()
    if policy is RoutingPolicy.prefix_affinity:
        return PrefixAffinityChooser()
    return LeastLoadedChooser()
