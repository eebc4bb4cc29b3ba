"""The parts of a node that the routes use."""

from dataclasses import dataclass

from ladder_core.settings import NodeSettings
from ladder_core.supervision import Service
from ladder_core.timeline import TimeLine
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
    What the routes need.

    Attributes
    ----------
    settings : NodeSettings
        The node's settings.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        The node's events.
    configuration : ConfigurationCache
        The lists in force.
    targets : TargetTable
        What is known of targets and entry hosts.
    generations : GenerationDispatcher
        Runs generations.
    services : ServiceDispatcher
        Calls plain services.
    keyed : IdempotentDispatcher
        Calls plain services at most once for each idempotency key.
    request_services : Service
        What the dispatchers need to be started and closed.
    steps : StepRegistry
        The open steps.
    gossip : Gossip
        Spreads facts among the nodes.
    nodes : NodeDirectory
        What is known of the other nodes.
    drain : Drain
        Counts the requests in progress and ends them.
    leases : LeaseManager
        The leases of this node's duties.

    """

    settings: NodeSettings
    timers: TimerService
    timeline: TimeLine
    configuration: ConfigurationCache
    targets: TargetTable
    generations: GenerationDispatcher
    services: ServiceDispatcher
    keyed: IdempotentDispatcher
    dispatch_supervisor: Service
    steps: StepRegistry
    gossip: Gossip
    nodes: NodeDirectory
    drain: Drain
    leases: LeaseManager
