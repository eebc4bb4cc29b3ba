"""The contract of the transport between nodes."""

from abc import ABC, abstractmethod
from collections.abc import Callable


class Channel(ABC):
    """One connection to a peer; frames may be lost, never reordered."""

    @abstractmethod
    def send(self, frame: bytes) -> None:
        """Send a frame, or drop it if the connection is full."""

    @abstractmethod
    async def receive(self) -> bytes:
        """Return the next frame."""

    @abstractmethod
    def close(self) -> None:
        """Release the connection; what was not sent is dropped."""


AcceptCallback = Callable[[Channel], None]


class PeerTransport(ABC):
    """Makes connections to peers and accepts theirs."""

    @abstractmethod
    def connect(self, address: str) -> Channel:
        """
        Open a connection; it need not be established yet.

        Parameters
        ----------
        address : str
            ``ip:port`` of the peer.

        Returns
        -------
        Channel
            Closed by the caller.

        """

    @abstractmethod
    async def listen(self, accept: AcceptCallback) -> None:
        """
        Begin to accept connections.

        Parameters
        ----------
        accept : AcceptCallback
            Gets each new connection.

        """

    @abstractmethod
    async def close(self) -> None:
        """Stop listening."""
