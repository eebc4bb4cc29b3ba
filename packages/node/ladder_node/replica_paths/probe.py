"""Probe for crashed replicas that other nodes have to confirm."""

from loguru import logger

from ladder_clients.transport import TargetProbe
from ladder_node.replica_paths.comparer import PathComparer
from ladder_node.replicas import ReplicaRegistry


class ComparedProbe(TargetProbe):
    """
    Take a replica for crashed only if no other node reaches it.

    Explanation
    -----------
    A host that has lost its path may be refused by replicas that run.

    Parameters
    ----------
    probe : TargetProbe
        Probes from this host.
    comparer : PathComparer
        Asks other nodes.
    registry : ReplicaRegistry
        Names the replica at an address.

    """

    def __init__(
        self,
        probe: TargetProbe,
        comparer: PathComparer,
        registry: ReplicaRegistry,
    ) -> None:
        self._probe = probe
        self._comparer = comparer
        self._registry = registry

    async def is_gone(self, address: str) -> bool:
        """Return whether this host is refused, and no other one connects."""
        if not await self._probe.is_gone(address):
            return False
        record = self._registry.find_at(address)
        if record is None:
            return True
        reached = await self._comparer.find_reached(
            record.replica.service, (record.name,)
        )
        if reached:
            logger.info('{} refuses this host only', record.name)
        return not reached
