"""Interface of observers of connections."""

from abc import ABC, abstractmethod


class ConnectionObserver(ABC):
    """Is told whether connections can be made, and which of them break."""

    @abstractmethod
    def record_connected(self, address: str) -> None:
        """Record that a connection to an ``ip:port`` was made."""

    @abstractmethod
    def record_unreachable(self, address: str, error: Exception) -> None:
        """
        Record that no connection to an ``ip:port`` could be made.

        Parameters
        ----------
        address : str
            Address of the peer.
        error : Exception
            Error of the attempt: `TimeoutError` if there was no answer.

        """

    @abstractmethod
    def record_broken(self, address: str) -> None:
        """Record that a connection to an ``ip:port`` ended with an error."""
