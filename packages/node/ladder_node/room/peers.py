"""Messages between nodes about who was served at services without room."""

import msgspec

from ladder_node.peer_calls import HttpPeerSender, PeerCaller, PeerSender

ROOM_PATH = '/v1/room'


class RoomQuestion(msgspec.Struct, frozen=True, array_like=True):
    """
    Ask what a node has served.

    Attributes
    ----------
    services : tuple of str
        Services at which the node that asks has no room.

    """

    services: tuple[str, ...]


class RoomReply(msgspec.Struct, frozen=True, array_like=True):
    """
    What a node has served since its start.

    Attributes
    ----------
    incarnation : str
        Identifies the process; its counts begin at zero.
    served : dict of str to (dict of str to int)
        Number of requests that have started, by service and organisation.

    """

    incarnation: str
    served: dict[str, dict[str, int]]


RoomSender = PeerSender[RoomQuestion, RoomReply]


def make_room_sender(caller: PeerCaller) -> RoomSender:
    """Return the sender of questions over HTTP."""
    return HttpPeerSender(caller, ROOM_PATH, RoomReply)
