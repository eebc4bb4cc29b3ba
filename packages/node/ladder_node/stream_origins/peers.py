"""Messages on the origins of streams between nodes."""

import msgspec

from ladder_node.peer_calls import HttpPeerSender, PeerCaller, PeerSender
from ladder_node.stream_origins.memory import StreamOrigin

ORIGIN_PATH = '/v1/stream-origins'


class OriginMessage(msgspec.Struct, frozen=True, array_like=True):
    """
    A note of the origin of a stream, or a question for it.

    Attributes
    ----------
    attempt : str
        Attempt of the caller that brought the first event of the stream.
    origin : StreamOrigin or None
        The origin; None to ask for it.

    """

    attempt: str
    origin: StreamOrigin | None = None


class OriginReply(msgspec.Struct, frozen=True, array_like=True):
    """
    Reply to a note or a question.

    Attributes
    ----------
    origin : StreamOrigin or None
        The origin of the stream; None if it is not known.

    """

    origin: StreamOrigin | None = None


OriginSender = PeerSender[OriginMessage, OriginReply]


def make_origin_sender(caller: PeerCaller) -> OriginSender:
    """Return the sender of notes and questions over HTTP."""
    return HttpPeerSender(caller, ORIGIN_PATH, OriginReply)
