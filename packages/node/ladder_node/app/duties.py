"""Build the control work of a node."""

from ladder_core.settings import NodeSettings
from ladder_core.supervision import Supervisor
from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService
from ladder_node.app.clients import Clients
from ladder_node.app.share import TableShare
from ladder_node.duties import (
    PoolReconciler,
    VersionDoubtExchange,
    WeightRollout,
)
from ladder_node.entry import EntryParts
from ladder_node.leases import LeaseCandidate, LeaseHolder, LeaseManager
from ladder_policy.versions import WavePlanner


def make_leases(
    settings: NodeSettings,
    clients: Clients,
    timers: TimerService,
    timeline: TimeLine,
) -> LeaseManager:
    """Return the keeper of this node's leases."""
    node = LeaseHolder(settings.name, settings.entry_address)
    return LeaseManager(clients.lease_table, node, timers, timeline)


def add_duties(
    root: Supervisor,
    parts: EntryParts,
    clients: Clients,
) -> None:
    """Add the leases, then the duties that run under them."""
    clients.gate.report_to(parts.timeline)
    root.add(TableShare(clients.gate, parts.targets, parts.timers))
    root.add(parts.leases)
    root.add(VersionDoubtExchange(parts.targets, parts.gossip, parts.timers))
    root.add(_make_pool_reconciler(parts, clients))


def _make_pool_reconciler(
    parts: EntryParts, clients: Clients
) -> PoolReconciler:
    targets, timers = parts.targets, parts.timers
    rollout = WeightRollout(
        targets,
        clients.engines,
        clients.weights,
        WavePlanner(),
        timers,
        parts.timeline,
        parts.settings.platform.weights_region,
    )
    seeker = LeaseCandidate(
        parts.leases,
        parts.settings.name,
        lambda: (host.name for host in targets.entry_hosts),
        timers,
    )
    return PoolReconciler(targets, seeker, rollout, timers)
