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
    supervisor: Service


@dataclass(frozen=True, slots=True)
class DispatchDependencies:
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


def make_dispatchers(dependencies: DispatchDependencies) -> Dispatchers:
    """Return the dispatchers of a node."""
    clients, timers = dependencies.clients, dependencies.timers
    board = SharedSuspectRegistry(clients.table, dependencies.gossip, timers)
    guard = CrashGuard(board, TcpProbe(timers), timers, dependencies.timeline)
    retries = BudgetedRetries(timers)
    generations = GenerationDispatcher(
        dependencies.targets,
        clients.engines,
        _make_chooser(dependencies.settings.policies.routing),
        timers,
        guard,
        retries,
        NearestRegion(dependencies.settings.region),
    )
    services = ServiceDispatcher(
        dependencies.targets,
        clients.services,
        guard,
        retries,
    )
    supervisor = Supervisor('requests', timers)
    supervisor.add(board)
    supervisor.add(generations)
    keyed = IdempotentDispatcher(
        services,
        _make_intent_log(dependencies, supervisor),
        dependencies.timeline,
    )
    return Dispatchers(generations, services, keyed, supervisor)


def _make_intent_log(
    dependencies: DispatchDependencies, supervisor: Supervisor
) -> IntentLog:
    table, timers = dependencies.clients.table, dependencies.timers
    writer = IntentWriter(table, timers)
    supervisor.add(writer)
    supervisor.add(IntentCleaner(table, timers, dependencies.settings.name))
    return IntentLog(table, writer, timers)


def _make_chooser(policy: RoutingPolicy) -> TargetChooser:
    if policy is RoutingPolicy.round_robin:
        return RoundRobinChooser()
    if policy is RoutingPolicy.prefix_affinity:
        return PrefixAffinityChooser()
    return LeastLoadedChooser()
