"""Bring about the faults of an experiment at their times."""

import asyncio
import signal
from collections.abc import Sequence

import msgspec

from bench.experiment import FaultModel, FaultName
from bench.versions import Versions
from ladder_standins.faults import Fault, FaultKind
from ladder_standins.fleet import Fleet
from ladder_standins.network import NETWORK_PATH, NetworkSettings

_STORES = ('table', 'objects', 'weights')


class FaultSchedule:
    """
    Run each fault in a task of its own.

    Parameters
    ----------
    fleet : Fleet
        The processes.
    networks : dict of str to NetworkSettings
        The network of each stand-in.
    versions : Versions
        Publishes versions in the middle of a step.
    speed : float
        Scaled seconds in one second.

    """

    def __init__(
        self,
        fleet: Fleet,
        networks: dict[str, NetworkSettings],
        versions: Versions,
        speed: float,
    ) -> None:
        self._fleet = fleet
        self._networks = networks
        self._versions = versions
        self._speed = speed

    async def run(self, faults: Sequence[FaultModel]) -> None:
        """Bring about all faults; return when the last one has ended."""
        await asyncio.gather(*(self._run_fault(fault) for fault in faults))

    async def _run_fault(self, fault: FaultModel) -> None:
        await asyncio.sleep(fault.at_seconds / self._speed)
        await self._begin(fault)
        if fault.lasts_seconds:
            await asyncio.sleep(fault.lasts_seconds / self._speed)
            await self._end(fault)

    async def _begin(self, fault: FaultModel) -> None:
        processes = self._fleet.processes
        match fault.kind:
            case FaultName.target_crash | FaultName.node_kill:
                await processes.kill(fault.target)
            case FaultName.node_freeze:
                processes.send_signal(fault.target, signal.SIGSTOP)
            case FaultName.store_out:
                await self._add_store_fault(FaultKind.refuse)
            case FaultName.link_cut:
                await self._set_link(is_cut=True)
            case FaultName.swap:
                await self._versions.publish()

    async def _end(self, fault: FaultModel) -> None:
        processes = self._fleet.processes
        match fault.kind:
            case FaultName.target_crash | FaultName.node_kill:
                await processes.restart(fault.target)
            case FaultName.node_freeze:
                processes.send_signal(fault.target, signal.SIGCONT)
            case FaultName.store_out:
                await self._add_store_fault(FaultKind.clear)
            case FaultName.link_cut:
                await self._set_link(is_cut=False)

    async def _add_store_fault(self, kind: FaultKind) -> None:
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
