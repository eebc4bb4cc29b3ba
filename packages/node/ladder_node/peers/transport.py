"""Interface of the transport between nodes."""

from abc import ABC, abstractmethod
from collections.abc import Callable


class Channel(ABC):
    """A connection to a peer; frames can be lost but are not reordered."""

    @abstractmethod
    def send(self, frame: bytes) -> None:
        """Send a frame, or drop it if the connection is full."""

    @abstractmethod
    async def receive(self) -> bytes:
        """Wait for the next frame and return it."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection and drop frames that were not sent."""


AcceptCallback = Callable[[Channel], None]


class PeerTransport(ABC):
    """Transport that opens connections to peers and accepts theirs."""

    @abstractmethod
    def connect(self, address: str) -> Channel:
        """
        Open a connection, which may be established only later.

        Parameters
        ----------
        address : str
            ``ip:port`` at which the peer accepts connections.

        Returns
        -------
        Channel
            The connection, which the caller must close.

        """

    @abstractmethod
    async def listen(self, accept: AcceptCallback) -> None:
        """
        Start to accept connections.

        Parameters
        ----------
        accept : AcceptCallback
            Called with each new connection.

        """

    @abstractmethod
    async def close(self) -> None:
        """Stop accepting connections and release all resources."""
