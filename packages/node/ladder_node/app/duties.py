"""Build the control work of a node."""

from ladder_core.settings import NodeSettings
from ladder_core.supervision import Supervisor
from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService
from ladder_node.app.clients import Clients
from ladder_node.app.share import TableShare
from ladder_node.duties import Holder, LeaseKeeper, WeightDuty
from ladder_node.entry import EntryParts


def make_leases(
    settings: NodeSettings,
    clients: Clients,
    timers: TimerService,
    timeline: TimeLine,
) -> LeaseKeeper:
    """Return the keeper of this node's leases."""
    node = Holder(settings.name, settings.entry_address)
    return LeaseKeeper(clients.lease_table, node, timers, timeline)


def add_duties(
    root: Supervisor,
    parts: EntryParts,
    clients: Clients,
) -> None:
    """Add the leases, then the duties that run under them."""
    clients.gate.report_to(parts.timeline)
    root.add(TableShare(clients.gate, parts.targets, parts.timers))
    root.add(parts.leases)
    root.add(
        WeightDuty(
            parts.targets,
            clients.engines,
            clients.weights,
            parts.timers,
            parts.timeline,
        ),
    )
