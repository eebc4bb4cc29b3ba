"""
Relay of calls to the platform's store through another node.

Notes
-----
While a node can't reach the store directly, it sends its calls to another node
that can.

"""

from ladder_node.store_relay.app import StoreRelayApp
from ladder_node.store_relay.client import (
    RELAY_PATH,
    StoreRelay,
    StoreRelayError,
)
from ladder_node.store_relay.messages import RelayedCall, RelayedResponse

__all__ = (
    'RELAY_PATH',
    'RelayedResponse',
    'RelayedCall',
    'StoreRelay',
    'StoreRelayApp',
    'StoreRelayError',
)
