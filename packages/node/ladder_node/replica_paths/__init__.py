"""Paths of this host to replicas, compared with those of other hosts."""

from ladder_node.replica_paths.comparer import PathComparer
from ladder_node.replica_paths.gateways import GatewayDirectory
from ladder_node.replica_paths.messages import (
    PATH_PATH,
    PathQuestion,
    PathReply,
    PathSender,
    make_path_sender,
)
from ladder_node.replica_paths.monitor import ReplicaPaths
from ladder_node.replica_paths.parts import PathParts, make_path_parts
from ladder_node.replica_paths.relays import RelayDirectory
from ladder_node.replica_paths.source import RelaySource

__all__ = (
    'PATH_PATH',
    'GatewayDirectory',
    'PathComparer',
    'PathParts',
    'PathQuestion',
    'PathReply',
    'PathSender',
    'RelayDirectory',
    'RelaySource',
    'ReplicaPaths',
    'make_path_parts',
    'make_path_sender',
)
