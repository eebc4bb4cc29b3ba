"""Dependencies of the routes."""

from dataclasses import dataclass

from ladder_core.settings import NodeSettings
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.configuration import ConfigurationCache
from ladder_node.dispatch import (
    GenerationDispatcher,
    IdempotentDispatcher,
    ServiceDispatcher,
)
from ladder_node.leases import LeaseManager
from ladder_node.peers import Gossip, NodeDirectory
from ladder_node.serving import Drain
from ladder_node.steps import StepRegistry
from ladder_node.targets import TargetTable


@dataclass(frozen=True, slots=True)
class EntryDependencies:
    """
    Dependencies that are injected into the routes.

    Attributes
    ----------
    settings : NodeSettings
        Settings of this node, such as its name and the body limit.
    timers : TimerService
        Clock, delays and periodic callbacks.
    timeline : Timeline
        Events of this node for operators.
    configuration : ConfigurationCache
        Plans and allowances in force.
    targets : TargetTable
        Targets and entry hosts with their last known state.
    generations : GenerationDispatcher
        Sends generations to engines.
    services : ServiceDispatcher
        Sends calls to services.
    idempotent_services : IdempotentDispatcher
        Calls services at most once for each idempotency key.
    dispatch_supervisor : Component
        Background components of the dispatchers, started and closed together.
    steps : StepRegistry
        Steps that run on this node.
    gossip : Gossip
        Exchanges facts and the configuration with other nodes.
    nodes : NodeDirectory
        Other nodes with their addresses and last known state.
    drain : Drain
        Counts the requests in progress and drains the node.
    leases : LeaseManager
        Acquires and renews the leases of this node's duties.

    """

    settings: NodeSettings
    timers: TimerService
    timeline: Timeline
    configuration: ConfigurationCache
    targets: TargetTable
    generations: GenerationDispatcher
    services: ServiceDispatcher
    idempotent_services: IdempotentDispatcher
    dispatch_supervisor: Component
    steps: StepRegistry
    gossip: Gossip
    nodes: NodeDirectory
    drain: Drain
    leases: LeaseManager
