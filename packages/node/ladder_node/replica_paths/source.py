"""Interface of the lists of nodes that relay requests to replicas."""

from abc import ABC, abstractmethod

from ladder_policy.routing import RelayCandidate


class RelaySource(ABC):
    """Lists the nodes that requests to a service are relayed through."""

    @abstractmethod
    def list_relays(self, service: str) -> list[RelayCandidate]:
        """Return the nodes to try, the best first."""

    @abstractmethod
    def record_success(self, name: str, service: str) -> None:
        """Record that a node reaches a service."""

    @abstractmethod
    def record_failure(self, name: str) -> None:
        """Record that a node could not relay a request."""

    @abstractmethod
    def record_interruption(self, name: str) -> None:
        """Record that an exchange ended before the head of its response."""
