"""Senders of one kind of message to other nodes."""

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

import msgspec

from ladder_node.peer_calls.caller import PeerCaller

# Two exchanges between distant regions, and some time for a busy node.
_TIMEOUT_SECONDS = 0.25
_Message = TypeVar('_Message', bound=msgspec.Struct)
_Reply = TypeVar('_Reply')


class PeerSender(ABC, Generic[_Message, _Reply]):
    """Sends one kind of message to other nodes."""

    @abstractmethod
    async def send(self, address: str, message: _Message) -> _Reply | None:
        """
        Send a message, and return the reply.

        Parameters
        ----------
        address : str
            ``ip:port`` at which the peer accepts other nodes.
        message : msgspec.Struct
            The message.

        Returns
        -------
        reply or None
            The reply; None if there is none in time.

        """


class HttpPeerSender(PeerSender[_Message, _Reply]):
    """
    Send messages over HTTP.

    Parameters
    ----------
    caller : PeerCaller
        Calls other nodes.
    path : str
        Path of the calls.
    reply_type : type
        Type of the replies.
    timeout_seconds : float, optional
        Time limit of a call.

    """

    def __init__(
        self,
        caller: PeerCaller,
        path: str,
        reply_type: type[_Reply],
        timeout_seconds: float = _TIMEOUT_SECONDS,
    ) -> None:
        self._caller = caller
        self._path = path
        self._reply_type = reply_type
        self._timeout_seconds = timeout_seconds

    async def send(self, address: str, message: _Message) -> _Reply | None:
        """Send a message, and return the reply."""
        return await self._caller.call(
            address,
            self._path,
            message,
            self._reply_type,
            self._timeout_seconds,
        )
