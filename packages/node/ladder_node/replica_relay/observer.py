"""Interface of the observer of the responses that a node passes on."""

from abc import ABC, abstractmethod

from ladder_clients.exchanges import StreamedResponse
from ladder_core.values import Replica


class ReplicaObserver(ABC):
    """Knows what replicas said of themselves in their responses."""

    @abstractmethod
    def record_response(
        self, replica: Replica, response: StreamedResponse
    ) -> None:
        """Note what a response says of the process that sent it."""

    @abstractmethod
    def is_leaving(self, replica: Replica) -> bool:
        """Return whether a process said that it leaves, or is listed so."""

    @abstractmethod
    def is_limited(self, replica: Replica) -> bool:
        """Return whether a replica limits the rate of requests."""
