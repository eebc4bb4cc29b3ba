"""Create the dispatchers that send requests to targets."""

from dataclasses import dataclass

from ladder_clients.probes import TcpProbe
from ladder_core.settings import NodeSettings, RoutingPolicy
from ladder_core.supervision import Component, Supervisor
from ladder_core.timeline import Timeline
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
    Dispatchers of a node.

    Attributes
    ----------
    generations : GenerationDispatcher
        Sends generations to engines.
    services : ServiceDispatcher
        Sends calls to services and scorers.
    idempotent_services : IdempotentDispatcher
        Calls services at most once for each idempotency key.
    supervisor : Component
        Background components of the dispatchers, started and closed together.

    """

    generations: GenerationDispatcher
    services: ServiceDispatcher
    idempotent_services: IdempotentDispatcher
    supervisor: Component


@dataclass(frozen=True, slots=True)
class DispatchDependencies:
    """
    Dependencies that are injected into the dispatchers.

    Attributes
    ----------
    settings : NodeSettings
        Settings of this node.
    clients : Clients
        Clients of the platform and of targets.
    targets : TargetTable
        Targets with their last known state.
    gossip : Gossip
        Shares suspect requests with the other nodes.
    timers : TimerService
        Clock, delays and periodic callbacks.
    timeline : Timeline
        Records events for operators.

    """

    settings: NodeSettings
    clients: Clients
    targets: TargetTable
    gossip: Gossip
    timers: TimerService
    timeline: Timeline


def make_dispatchers(dependencies: DispatchDependencies) -> Dispatchers:
    """Create the dispatchers of a node, not started."""
    clients, timers = dependencies.clients, dependencies.timers
    suspects = SharedSuspectRegistry(clients.table, dependencies.gossip, timers)
    guard = CrashGuard(
        suspects, TcpProbe(timers), timers, dependencies.timeline
    )
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
    supervisor.add(suspects)
    supervisor.add(generations)
    idempotent_services = IdempotentDispatcher(
        services,
        _make_intent_log(dependencies, supervisor),
        dependencies.timeline,
    )
    return Dispatchers(generations, services, idempotent_services, supervisor)


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
