"""
Relay of requests to replicas through another node.

Notes
-----
While a host has lost its own path to a service, its requests go through nodes
that reach it. In large data centres, requests also go through nodes that have
connections to share. There is one hop, never two.

"""

from ladder_node.replica_relay.app import ReplicaRelayApp
from ladder_node.replica_relay.client import ReplicaRelay
from ladder_node.replica_relay.exchanges import Gateways, RoutedExchanges
from ladder_node.replica_relay.lost_paths import LostPathHandler
from ladder_node.replica_relay.messages import (
    REPLICA_RELAY_PATH,
    RelayedExchange,
    RelayedHead,
    RelayOutcome,
)
from ladder_node.replica_relay.observer import ReplicaObserver

__all__ = (
    'REPLICA_RELAY_PATH',
    'Gateways',
    'LostPathHandler',
    'RelayOutcome',
    'RelayedExchange',
    'RelayedHead',
    'ReplicaObserver',
    'ReplicaRelay',
    'ReplicaRelayApp',
    'RoutedExchanges',
)
