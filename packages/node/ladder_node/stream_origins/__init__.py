"""Which software began a stream, so that it goes on at the same one."""

from ladder_node.stream_origins.memory import StreamOrigin
from ladder_node.stream_origins.origins import StreamOrigins
from ladder_node.stream_origins.peers import (
    ORIGIN_PATH,
    HttpOriginSender,
    OriginMessage,
    OriginReply,
    OriginSender,
)

__all__ = (
    'ORIGIN_PATH',
    'HttpOriginSender',
    'OriginMessage',
    'OriginReply',
    'OriginSender',
    'StreamOrigin',
    'StreamOrigins',
)
