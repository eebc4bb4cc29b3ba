"""Calls to the platform's store through another node."""

from ladder_node.store_relay.app import StoreRelayApp
from ladder_node.store_relay.client import StoreRelay, StoreRelayError
from ladder_node.store_relay.messages import RelayedAnswer, RelayedCall

__all__ = (
    'RelayedAnswer',
    'RelayedCall',
    'StoreRelay',
    'StoreRelayApp',
    'StoreRelayError',
)
