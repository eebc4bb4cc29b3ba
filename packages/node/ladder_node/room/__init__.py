"""Room at services that are short of it, shared fairly between callers."""

from ladder_node.room.peers import (
    ROOM_PATH,
    RoomQuestion,
    RoomReply,
    make_room_sender,
)
from ladder_node.room.rooms import Place, ServiceRooms
from ladder_node.room.sharing import RoomSharing

__all__ = (
    'ROOM_PATH',
    'Place',
    'RoomQuestion',
    'RoomReply',
    'RoomSharing',
    'ServiceRooms',
    'make_room_sender',
)
