"""Offers of the duty to the node that should hold it next."""

import msgspec

from ladder_node.peer_calls import HttpPeerSender, PeerCaller, PeerSender

OFFER_PATH = '/v1/duty-offers'


class DutyOffer(msgspec.Struct, frozen=True, array_like=True):
    """
    An offer of a duty whose lease was released for the node that gets it.

    Attributes
    ----------
    duty : str
        Name of the duty.

    """

    duty: str


class DutyOfferReply(msgspec.Struct, frozen=True, array_like=True):
    """
    Reply to an offer.

    Attributes
    ----------
    is_accepted : bool
        Whether the node tries to acquire the lease.

    """

    is_accepted: bool


OfferSender = PeerSender[DutyOffer, DutyOfferReply]


def make_offer_sender(caller: PeerCaller) -> OfferSender:
    """Return the sender of offers over HTTP."""
    return HttpPeerSender(caller, OFFER_PATH, DutyOfferReply)
