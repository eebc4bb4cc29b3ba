"""Applications for permits between nodes."""

from ladder_node.peer_calls import HttpPeerSender, PeerCaller, PeerSender
from ladder_node.rate_limits.issuer import PermitApplication, PermitReply

PERMIT_PATH = '/v1/permits'

PermitSender = PeerSender[PermitApplication, PermitReply]


def make_permit_sender(caller: PeerCaller) -> PermitSender:
    """Return the sender of applications over HTTP."""
    return HttpPeerSender(caller, PERMIT_PATH, PermitReply)
