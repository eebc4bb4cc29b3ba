"""Injection of the faults of an experiment."""

import asyncio
import signal
from collections.abc import Sequence

import msgspec

from bench.experiment import FaultKind, FaultSettings
from bench.version_publisher import VersionPublisher
from ladder_standins.faults import Fault
from ladder_standins.faults import FaultKind as StandinFaultKind
from ladder_standins.fleet import Fleet
from ladder_standins.network import NETWORK_PATH, NetworkSettings

_STORES = ('table', 'objects', 'weights')


class FaultInjector:
    """
    Inject the faults of an experiment, each in a task of its own.

    Parameters
    ----------
    fleet : Fleet
        Processes of the system that the faults are injected into.
    networks : dict of str to NetworkSettings
        Network settings of each stand-in, by name.
    version_publisher : VersionPublisher
        Publishes a new version for a swap in the middle of a step.
    speed : float
        Scaled seconds in one real second.

    """

    def __init__(
        self,
        fleet: Fleet,
        networks: dict[str, NetworkSettings],
        version_publisher: VersionPublisher,
        speed: float,
    ) -> None:
        self._fleet = fleet
        self._networks = networks
        self._version_publisher = version_publisher
        self._speed = speed

    async def run(self, faults: Sequence[FaultSettings]) -> None:
        """Inject all faults; return when the last one has ended."""
        await asyncio.gather(*(self._run_fault(fault) for fault in faults))

    async def _run_fault(self, fault: FaultSettings) -> None:
        await asyncio.sleep(fault.at_seconds / self._speed)
        await self._begin(fault)
        if fault.lasts_seconds:
            await asyncio.sleep(fault.lasts_seconds / self._speed)
            await self._end(fault)

    async def _begin(self, fault: FaultSettings) -> None:
        processes = self._fleet.processes
        match fault.kind:
            case FaultKind.target_crash | FaultKind.node_kill:
                await processes.kill(fault.target)
            case FaultKind.node_freeze:
                processes.send_signal(fault.target, signal.SIGSTOP)
            case FaultKind.store_out:
                await self._add_store_fault(StandinFaultKind.refuse)
            case FaultKind.link_cut:
                await self._set_link(is_cut=True)
            case FaultKind.swap:
                await self._version_publisher.publish()

    async def _end(self, fault: FaultSettings) -> None:
        processes = self._fleet.processes
        match fault.kind:
            case FaultKind.target_crash | FaultKind.node_kill:
                await processes.restart(fault.target)
            case FaultKind.node_freeze:
                processes.send_signal(fault.target, signal.SIGCONT)
            case FaultKind.store_out:
                await self._add_store_fault(StandinFaultKind.clear)
            case FaultKind.link_cut:
                await self._set_link(is_cut=False)

    async def _add_store_fault(self, kind: StandinFaultKind) -> None:
        for store in _STORES:
            await self._fleet.controls.add_fault(store, Fault(kind))

    async def _set_link(self, *, is_cut: bool) -> None:
        for name, network in self._networks.items():
            changed = msgspec.structs.replace(network, is_cut=is_cut)
            if name in self._fleet.processes.names:
                await self._fleet.controls.send(
                    name,
                    'PUT',
                    NETWORK_PATH,
                    changed,
                )
