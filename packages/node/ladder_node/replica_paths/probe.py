"""Probe for crashed replicas that other nodes have to confirm."""

from collections.abc import Callable

from loguru import logger

from ladder_clients.probes import TargetProbe
from ladder_node.replica_paths.comparer import PathComparer
from ladder_node.replicas import ReplicaRegistry


class ComparedProbe(TargetProbe):
    """
    Find out with the help of other nodes whether a replica has crashed.

    Explanation
    -----------
    A host that has lost its path may be refused by replicas that run, and gets
    no answer from those that have crashed.

    Parameters
    ----------
    probe : TargetProbe
        Probes from this host.
    comparer : PathComparer
        Asks other nodes.
    registry : ReplicaRegistry
        Names the replica at an address.
    is_lost : callable
        Returns whether this host has lost its path to a service.

    """

    def __init__(
        self,
        probe: TargetProbe,
        comparer: PathComparer,
        registry: ReplicaRegistry,
        is_lost: Callable[[str], bool],
    ) -> None:
        self._probe = probe
        self._comparer = comparer
        self._registry = registry
        self._is_lost = is_lost

    async def is_gone(self, address: str) -> bool:
        """Return whether no process listens at an address."""
        record = self._registry.find_at(address)
        if record is None:
            return await self._probe.is_gone(address)
        service = record.replica.service
        if self._is_lost(service):
            return await self._comparer.is_gone(service, record.name)
        if not await self._probe.is_gone(address):
            return False
        reached = await self._comparer.find_reached(
            service, (record.name,), needs_proof=True
        )
        if reached:
            logger.info('{} refuses this host only', record.name)
        return not reached
