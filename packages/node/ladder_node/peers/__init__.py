"""Gossip between nodes: membership, leaving targets and configuration."""

from ladder_node.peers.facts import Fact, FactKind
from ladder_node.peers.gossip import Gossip
from ladder_node.peers.leaving import LeavingTargets
from ladder_node.peers.members import PeerMember
from ladder_node.peers.nodes import NodeDirectory
from ladder_node.peers.pause import PauseGuard
from ladder_node.peers.transport import PeerTransport
from ladder_node.peers.zmq_transport import ZmqTransport

__all__ = (
    'Fact',
    'FactKind',
    'Gossip',
    'LeavingTargets',
    'NodeDirectory',
    'PauseGuard',
    'PeerMember',
    'PeerTransport',
    'ZmqTransport',
)
