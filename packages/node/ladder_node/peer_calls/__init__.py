"""Calls between nodes over HTTP, with MessagePack bodies."""

from ladder_node.peer_calls.app import PeerApp
from ladder_node.peer_calls.bodies import MAX_BODY_BYTES, read_body
from ladder_node.peer_calls.caller import PeerCaller
from ladder_node.peer_calls.sender import HttpPeerSender, PeerSender

__all__ = (
    'MAX_BODY_BYTES',
    'HttpPeerSender',
    'PeerApp',
    'PeerCaller',
    'PeerSender',
    'read_body',
)
