"""The parts of a node that deal with other nodes."""

from dataclasses import dataclass

from ladder_core.settings import NodeSettings
from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService
from ladder_node.configuration import ConfigurationCache
from ladder_node.peers import Gossip, Member, NodeDirectory, ZmqTransport
from ladder_node.serving import Drain
from ladder_node.targets import TargetTable


@dataclass(frozen=True, slots=True)
class Peers:
    """
    Parts that deal with other nodes.

    Attributes
    ----------
    gossip : Gossip
        Spreads facts and the configuration.
    nodes : NodeDirectory
        What is known of the other nodes.
    drain : Drain
        Takes this node out of service.

    """

    gossip: Gossip
    nodes: NodeDirectory
    drain: Drain


def make_peers(
    settings: NodeSettings,
    configuration: ConfigurationCache,
    targets: TargetTable,
    timers: TimerService,
    timeline: TimeLine,
) -> Peers:
    """
    Make the parts of a node that deal with other nodes.

    Parameters
    ----------
    settings : NodeSettings
        The node's settings.
    configuration : ConfigurationCache
        Spread by the gossip.
    targets : TargetTable
        Knows the platform's host list.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes events.

    Returns
    -------
    Peers
        The parts, not started.

    """
    me = Member(
        settings.region,
        settings.data_centre,
        settings.name,
        settings.peer_address,
    )
    nodes = NodeDirectory(me, lambda: targets.entry_hosts, timers, timeline)
    gossip = Gossip(
        me,
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
