"""Build the supervisor tree of a node."""

from dataclasses import dataclass

from ladder_core.settings import NodeSettings
from ladder_core.supervision import Supervisor
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import SystemTimerService, TimerService
from ladder_node.app.clients import Clients, make_clients
from ladder_node.app.dispatchers import DispatchDependencies, make_dispatchers
from ladder_node.app.duties import add_duties, make_leases
from ladder_node.app.peers import make_peers
from ladder_node.configuration import ConfigurationCache
from ladder_node.entry import (
    EntryDependencies,
    RequestLogMiddleware,
    make_entry_app,
)
from ladder_node.peers import LeavingTargets, PauseGuard
from ladder_node.serving import Drain, EntryMiddleware, EntryServer
from ladder_node.steps import (
    RunnerFactory,
    StepCapacity,
    StepCatalog,
    StepRegistry,
    StepStore,
    TrainerLeases,
)
from ladder_node.targets import TargetTable, TargetWatcher

_GOSSIP_TIMEOUT_SECONDS = 1


@dataclass(frozen=True, slots=True)
class Node:
    """
    A node whose components are created and not started.

    Attributes
    ----------
    root : Supervisor
        Root of the supervisor tree; starts and closes the whole node.
    drain : Drain
        Run before a planned close, so that no request is interrupted.

    """

    root: Supervisor
    drain: Drain


def build_node(settings: NodeSettings) -> Node:
    """
    Create all components of a node.

    Parameters
    ----------
    settings : NodeSettings
        Settings of this node.

    Returns
    -------
    Node
        Root supervisor and drain of the node.

    """
    timers = SystemTimerService()
    clients = make_clients(settings, timers)
    dependencies = _make_dependencies(settings, clients, timers)
    root = Supervisor('root', dependencies.timers)
    root.add(clients.http)
    watcher = TargetWatcher(
        dependencies.targets,
        clients.hosts,
        clients.engines,
        dependencies.timers,
    )
    root.add(watcher)
    root.add(dependencies.configuration)
    guard = _add_peers(root, dependencies, watcher)
    add_duties(root, dependencies, clients)
    root.add(dependencies.dispatch_supervisor)
    root.add(dependencies.steps)
    app = EntryMiddleware(
        make_entry_app(dependencies),
        dependencies.drain,
        guard.ensure_fresh,
    )
    root.add(
        EntryServer(RequestLogMiddleware(app), settings.entry_address),
    )
    return Node(root, dependencies.drain)


def _add_peers(
    root: Supervisor,
    dependencies: EntryDependencies,
    watcher: TargetWatcher,
) -> PauseGuard:
    guard = PauseGuard(
        (
            watcher.refresh,
            dependencies.configuration.refresh,
            lambda: dependencies.gossip.refresh(_GOSSIP_TIMEOUT_SECONDS),
        ),
        dependencies.timers,
        dependencies.timeline,
    )
    dependencies.targets.set_staleness_check(
        lambda: guard.is_stale, guard.ensure_fresh
    )
    root.add(dependencies.gossip)
    root.add(dependencies.nodes)
    root.add(
        LeavingTargets(
            dependencies.targets, dependencies.gossip, dependencies.timers
        )
    )
    root.add(guard)
    return guard


def _make_dependencies(
    settings: NodeSettings,
    clients: Clients,
    timers: TimerService,
) -> EntryDependencies:
    timeline = Timeline(settings.name, HybridClock(timers))
    targets = TargetTable(timers, timeline)
    configuration = ConfigurationCache(clients.table, timers, timeline)
    leases = make_leases(settings, clients, timers, timeline)
    trainer_leases = TrainerLeases(leases, settings.entry_address)
    peers = make_peers(settings, configuration, targets, timers, timeline)
    dispatchers = make_dispatchers(
        DispatchDependencies(
            settings=settings,
            clients=clients,
            targets=targets,
            gossip=peers.gossip,
            timers=timers,
            timeline=timeline,
        ),
    )
    return EntryDependencies(
        settings=settings,
        timers=timers,
        timeline=timeline,
        configuration=configuration,
        targets=targets,
        generations=dispatchers.generations,
        services=dispatchers.services,
        idempotent_services=dispatchers.idempotent_services,
        dispatch_supervisor=dispatchers.supervisor,
        steps=StepRegistry(
            RunnerFactory(
                dispatchers.generations,
                dispatchers.services,
                StepCapacity(targets),
                timers,
                timeline,
            ),
            StepCatalog(
                StepStore(clients.table, clients.objects),
                trainer_leases,
                timeline,
            ),
            trainer_leases,
            timers,
        ),
        gossip=peers.gossip,
        nodes=peers.nodes,
        drain=peers.drain,
        leases=leases,
    )
