"""
Relay of requests to replicas through another node.

Notes
-----
While a host has lost its own path to a service, its requests go through nodes
that reach it: one hop, never two.

"""

from ladder_node.replica_relay.app import ReplicaRelayApp
from ladder_node.replica_relay.client import ReplicaRelay
from ladder_node.replica_relay.exchanges import RoutedExchanges
from ladder_node.replica_relay.lost_paths import LostPathHandler
from ladder_node.replica_relay.messages import (
    REPLICA_RELAY_PATH,
    RelayedExchange,
    RelayedHead,
    RelayOutcome,
)

__all__ = (
    'REPLICA_RELAY_PATH',
    'LostPathHandler',
    'RelayOutcome',
    'RelayedExchange',
    'RelayedHead',
    'ReplicaRelay',
    'ReplicaRelayApp',
    'RoutedExchanges',
)
