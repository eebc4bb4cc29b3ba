"""Which software began a stream, so that it goes on at the same one."""

from ladder_node.stream_origins.journal import OriginJournal
from ladder_node.stream_origins.memory import StreamOrigin
from ladder_node.stream_origins.origins import StreamOrigins
from ladder_node.stream_origins.peers import (
    ORIGIN_PATH,
    OriginMessage,
    OriginReply,
    OriginSender,
    make_origin_sender,
)

__all__ = (
    'ORIGIN_PATH',
    'make_origin_sender',
    'OriginJournal',
    'OriginMessage',
    'OriginReply',
    'OriginSender',
    'StreamOrigin',
    'StreamOrigins',
)
