"""Create the leases and the duties that a node runs under them."""

from ladder_core.settings import NodeSettings
from ladder_core.supervision import Supervisor
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.app.clients import Clients
from ladder_node.app.table_rate_share import TableRateShare
from ladder_node.duties import (
    PoolReconciler,
    VersionDoubtExchange,
    WeightRollout,
)
from ladder_node.entry import EntryDependencies
from ladder_node.leases import LeaseCandidate, LeaseHolder, LeaseManager
from ladder_policy.versions import WavePlanner


def make_leases(
    settings: NodeSettings,
    clients: Clients,
    timers: TimerService,
    timeline: Timeline,
) -> LeaseManager:
    """Create the lease manager of this node."""
    node = LeaseHolder(settings.name, settings.entry_address)
    return LeaseManager(clients.lease_table, node, timers, timeline)


def add_duties(
    root: Supervisor,
    dependencies: EntryDependencies,
    clients: Clients,
) -> None:
    """Add the lease manager, then the duties that depend on it."""
    clients.admission.attach_timeline(dependencies.timeline)
    root.add(
        TableRateShare(
            clients.admission, dependencies.targets, dependencies.timers
        )
    )
    root.add(dependencies.leases)
    root.add(
        VersionDoubtExchange(
            dependencies.targets, dependencies.gossip, dependencies.timers
        )
    )
    root.add(_make_pool_reconciler(dependencies, clients))


def _make_pool_reconciler(
    dependencies: EntryDependencies, clients: Clients
) -> PoolReconciler:
    targets, timers = dependencies.targets, dependencies.timers
    rollout = WeightRollout(
        targets,
        clients.engines,
        clients.weights,
        WavePlanner(),
        timers,
        dependencies.timeline,
        dependencies.settings.platform.weights_region,
    )
    candidate = LeaseCandidate(
        dependencies.leases,
        dependencies.settings.name,
        lambda: (host.name for host in targets.entry_hosts),
        timers,
    )
    return PoolReconciler(targets, candidate, rollout, timers)
