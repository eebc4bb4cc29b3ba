"""Addresses of the replicas of each service."""

from ladder_node.replicas import ReplicaRegistry


class ReplicaGroups:
    """
    Group the replicas that stay by their services.

    The groups are kept until the list of replicas changes.

    Parameters
    ----------
    registry : ReplicaRegistry
        Replicas that this node knows.

    """

    def __init__(self, registry: ReplicaRegistry) -> None:
        self._registry = registry
        self._groups: dict[str, list[str]] | None = None

    def start(self) -> None:
        """Subscribe to changes of the list of replicas."""
        self._registry.add_listener(self._forget)

    def close(self) -> None:
        """Unsubscribe."""
        self._registry.remove_listener(self._forget)

    def list_addresses(self, service: str) -> list[str]:
        """Return the addresses of the replicas of a service."""
        return self.find_all().get(service, [])

    def find_all(self) -> dict[str, list[str]]:
        """Return the addresses of the replicas of each service."""
        if self._groups is None:
            self._groups = {}
            for record in self._registry.list_all():
                replica = record.replica
                if not record.has_ended and not replica.is_leaving:
                    addresses = self._groups.setdefault(replica.service, [])
                    addresses.append(replica.address)
        return self._groups

    def _forget(self) -> None:
        self._groups = None
