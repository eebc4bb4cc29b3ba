"""Interface of observers of connections."""

from abc import ABC, abstractmethod
from enum import StrEnum, auto


class Reachability(StrEnum):
    """
    What came of an attempt at a connection.

    Attributes
    ----------
    reached
        The connection was made.
    refused
        No process listens at the address.
    unknown
        There was no answer, or too many connections are open.

    """

    reached = auto()
    refused = auto()
    unknown = auto()


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
