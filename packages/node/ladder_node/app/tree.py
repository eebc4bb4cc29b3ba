"""Build the supervisor tree of a node."""

from ladder_core.settings import NodeSettings
from ladder_core.supervision import Supervisor
from ladder_core.timeline import HybridClock, TimeLine
from ladder_core.timers import SystemTimerService
from ladder_node.app.clients import Clients, make_clients
from ladder_node.configuration import ConfigurationKeeper
from ladder_node.dispatch import GenerationDispatcher, PlainDispatcher
from ladder_node.duties import WeightDuty
from ladder_node.entry import EntryParts, EntryServer, make_entry_app
from ladder_node.steps import StepCapacity, StepRegistry
from ladder_node.targets import TargetTable, TargetWatcher
from ladder_policy.routing import LeastLoadedChooser


def build_tree(settings: NodeSettings) -> Supervisor:
    """
    Build all parts of a node.

    Parameters
    ----------
    settings : NodeSettings
        The node's settings.

    Returns
    -------
    Supervisor
        The root; its start starts the node, its close stops it gracefully.

    """
    clients = make_clients(settings)
    parts = _make_parts(settings, clients)
    root = Supervisor('root', parts.timers)
    root.add(clients.http)
    root.add(
        TargetWatcher(
            parts.targets,
            clients.hosts,
            clients.engines,
            parts.timers,
        ),
    )
    root.add(parts.configuration)
    root.add(
        WeightDuty(
            parts.targets,
            clients.engines,
            clients.weights,
            parts.timers,
            parts.timeline,
        ),
    )
    root.add(parts.steps)
    root.add(EntryServer(make_entry_app(parts), settings.entry_address))
    return root


def _make_parts(settings: NodeSettings, clients: Clients) -> EntryParts:
    timers = SystemTimerService()
    timeline = TimeLine(settings.name, HybridClock(timers))
    targets = TargetTable(timers, timeline)
    generations = GenerationDispatcher(
        targets,
        clients.engines,
        LeastLoadedChooser(),
        timers,
    )
    services = PlainDispatcher(targets, clients.services)
    return EntryParts(
        settings=settings,
        timers=timers,
        timeline=timeline,
        configuration=ConfigurationKeeper(clients.table, timers, timeline),
        targets=targets,
        generations=generations,
        services=services,
        steps=StepRegistry(
            generations,
            services,
            StepCapacity(targets),
            timers,
            timeline,
        ),
    )
