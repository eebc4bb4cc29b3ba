"""Calls between nodes over HTTP, with MessagePack bodies."""

from ladder_node.peer_calls.app import PeerApp
from ladder_node.peer_calls.caller import PeerCaller

__all__ = ('PeerApp', 'PeerCaller')
