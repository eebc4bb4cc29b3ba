"""Messages on the origins of streams between nodes."""

from abc import ABC, abstractmethod

import msgspec

from ladder_node.peer_calls import PeerCaller
from ladder_node.stream_origins.memory import StreamOrigin

ORIGIN_PATH = '/v1/stream-origins'
_TIMEOUT_SECONDS = 0.25


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


class OriginSender(ABC):
    """Sends notes and questions to other nodes."""

    @abstractmethod
    async def send(
        self, address: str, message: OriginMessage
    ) -> OriginReply | None:
        """Send a message, and return the reply; None if there is none."""


class HttpOriginSender(OriginSender):
    """
    Send notes and questions over HTTP.

    Parameters
    ----------
    caller : PeerCaller
        Calls other nodes.

    """

    def __init__(self, caller: PeerCaller) -> None:
        self._caller = caller

    async def send(
        self, address: str, message: OriginMessage
    ) -> OriginReply | None:
        """Send a message, and return the reply."""
        return await self._caller.call(
            address, ORIGIN_PATH, message, OriginReply, _TIMEOUT_SECONDS
        )
