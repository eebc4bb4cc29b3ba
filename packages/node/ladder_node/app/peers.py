"""Create the components that communicate with other nodes."""

from dataclasses import dataclass

from ladder_core.settings import NodeSettings
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.configuration import ConfigurationCache
from ladder_node.peers import Gossip, NodeDirectory, PeerMember, ZmqTransport
from ladder_node.serving import Drain
from ladder_node.targets import TargetTable


@dataclass(frozen=True, slots=True)
class Peers:
    """
    Components that communicate with other nodes.

    Attributes
    ----------
    gossip : Gossip
        Exchanges facts and the configuration with other nodes.
    nodes : NodeDirectory
        Other nodes with their addresses and last known state.
    drain : Drain
        Drains this node before a planned stop.

    """

    gossip: Gossip
    nodes: NodeDirectory
    drain: Drain


def make_peers(
    settings: NodeSettings,
    configuration: ConfigurationCache,
    targets: TargetTable,
    timers: TimerService,
    timeline: Timeline,
) -> Peers:
    """
    Create the components that communicate with other nodes.

    Parameters
    ----------
    settings : NodeSettings
        Name, location and addresses of this node.
    configuration : ConfigurationCache
        Configuration that the gossip exchanges.
    targets : TargetTable
        Source of the platform's list of entry hosts.
    timers : TimerService
        Clock, delays and periodic callbacks.
    timeline : Timeline
        Records events for operators.

    Returns
    -------
    Peers
        The components, not started.

    """
    local_member = PeerMember(
        settings.region,
        settings.data_centre,
        settings.name,
        settings.peer_address,
    )
    nodes = NodeDirectory(
        local_member, lambda: targets.entry_hosts, timers, timeline
    )
    gossip = Gossip(
        local_member,
        nodes.list_members,
        ZmqTransport(settings.peer_address),
        configuration,
        timers,
        timeline,
    )
    drain = Drain(nodes.leave, settings.addresses_ttl_seconds, timers, timeline)
    nodes.attach(gossip, lambda: drain.requests)
    configuration.subscribe(gossip.announce)
    return Peers(gossip, nodes, drain)
