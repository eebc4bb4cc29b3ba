"""Injection of faults into a running system."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

from ladder_core.values import HostState
from ladder_standins.faults import Fault
from ladder_standins.faults import FaultKind as StandinFaultKind
from ladder_standins.fleet import Fleet, Layout
from ladder_standins.operator import ListFiles, apply_lists
from ladder_standins.tcp_proxy import PathLoss, TcpProxy
from proof.faults.schedule import FaultKind, FaultSchedule, PlannedFault
from proof.history import History, LeavingTarget, ObservedRevision, PlannedStop

_SLOW_CALL_SECONDS = 5
_TABLE = 'table'
_STORE_FAULTS = {  # noqa: WPS407 read only
    FaultKind.store_down: Fault(StandinFaultKind.refuse),
    FaultKind.store_slow: Fault(
        StandinFaultKind.delay,
        seconds=_SLOW_CALL_SECONDS,
    ),
    FaultKind.store_silent: Fault(StandinFaultKind.silence),
    FaultKind.store_answers_lost: Fault(
        StandinFaultKind.lose_answer,
        path='/v1/transactions',
    ),
}
_LOST_PATHS = {  # noqa: WPS407 read only
    FaultKind.hang_paths: PathLoss.hang,
    FaultKind.reset_paths: PathLoss.reset,
    FaultKind.refuse_paths: PathLoss.refuse,
}

_Handler = Callable[[PlannedFault], Awaitable[None]]


class FaultInjector:
    """
    Inject the faults of a schedule into a running system.

    Parameters
    ----------
    fleet : Fleet
        Processes of the system that the faults are injected into.
    layout : Layout
        Nodes and engines that the fleet was started with.
    files : ListFiles
        Files with the operators' lists, which are applied again to make a
        new configuration revision.
    proxies : sequence of TcpProxy
        TCP proxies in front of the engines, in the order of the engines
        in the layout.
    history : History
        Receives the planned stops, the targets that leave and the accepted
        edits.

    """

    def __init__(
        self,
        fleet: Fleet,
        layout: Layout,
        files: ListFiles,
        proxies: Sequence[TcpProxy],
        history: History,
    ) -> None:
        self._fleet = fleet
        self._layout = layout
        self._files = files
        self._proxies = proxies
        self._history = history
        self._are_paths_lost = False
        self._edit_lock = asyncio.Lock()
        self._revision = 1
        self._disrupted_processes: set[str] = set()
        self._handlers: dict[FaultKind, _Handler] = {
            **dict.fromkeys(_STORE_FAULTS, self._inject_store_fault),
            FaultKind.edit_lists: self._edit_lists,
            FaultKind.race_edits: self._edit_lists,
            FaultKind.silence_connections: self._silence_connections,
            FaultKind.cut_connections: self._cut_connections,
            **dict.fromkeys(_LOST_PATHS, self._lose_paths),
            FaultKind.swap_fails: self._make_swap_fail,
            FaultKind.engine_leaves: self._start_leaving,
        }

    async def inject(self, schedule: FaultSchedule) -> None:
        """Inject every fault at its time, and wait until all have ended."""
        await asyncio.gather(
            *(self._inject(fault) for fault in schedule.faults)
        )

    async def _inject(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.start_seconds)
        handler = self._handlers.get(fault.kind, self._inject_process_fault)
        await handler(fault)

    async def _inject_store_fault(self, fault: PlannedFault) -> None:
        controls = self._fleet.controls
        await controls.add_fault(_TABLE, _STORE_FAULTS[fault.kind])
        await asyncio.sleep(fault.duration_seconds)
        await controls.add_fault(_TABLE, Fault(StandinFaultKind.clear))

    async def _inject_process_fault(self, fault: PlannedFault) -> None:
        action, _, kind = fault.kind.partition('-')
        name = self._choose_process(fault, kind)
        if name in self._disrupted_processes:
            return
        self._disrupted_processes.add(name)
        match action:
            case 'kill':
                await self._kill(name, fault.duration_seconds)
            case 'freeze':
                await self._freeze(name, fault.duration_seconds)
            case 'stop':
                await self._stop(name)
        self._disrupted_processes.discard(name)

    async def _kill(self, name: str, seconds: float) -> None:
        await self._fleet.processes.kill(name)
        await asyncio.sleep(seconds)
        await self._fleet.processes.restart(name)

    async def _freeze(self, name: str, seconds: float) -> None:
        self._fleet.processes.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._fleet.processes.send_signal(name, signal.SIGCONT)

    async def _stop(self, name: str) -> None:
        begin = time.monotonic()
        status = await self._fleet.processes.stop(name)
        stop = PlannedStop(name, begin, time.monotonic(), status)
        self._history.planned_stops.append(stop)
        await self._fleet.processes.restart(name)

    async def _start_leaving(self, fault: PlannedFault) -> None:
        # Only the last engine leaves, so the others can serve the load.
        engine = self._layout.engines[-1]
        entry = self._fleet.make_engine_entry(engine, HostState.leaving)
        await self._fleet.controls.add_host(
            replace(entry, address=self._proxies[-1].address),
        )
        self._history.leaving_targets.append(
            LeavingTarget(engine.name, time.monotonic())
        )

    async def _edit_lists(self, fault: PlannedFault) -> None:
        operators = 2 if fault.kind is FaultKind.race_edits else 1
        async with self._edit_lock:
            revision = self._revision
            statuses = await asyncio.gather(
                *(
                    apply_lists(self._fleet, self._files, revision)
                    for _ in range(operators)
                ),
            )
            accepted = statuses.count(0)
            self._revision += min(accepted, 1)
        for _ in range(accepted):
            edit = ObservedRevision('', time.monotonic(), revision + 1)
            self._history.accepted_edits.append(edit)

    async def _silence_connections(self, fault: PlannedFault) -> None:
        for proxy in self._proxies:
            proxy.silence_open_connections()

    async def _cut_connections(self, fault: PlannedFault) -> None:
        proxy = self._proxies[fault.choice % len(self._proxies)]
        proxy.cut()
        await asyncio.sleep(fault.duration_seconds)
        proxy.restore()

    async def _lose_paths(self, fault: PlannedFault) -> None:
        """Lose the paths of all nodes to all engines."""
        if self._are_paths_lost:
            return
        self._are_paths_lost = True
        for lost in self._proxies:
            await lost.strand(_LOST_PATHS[fault.kind])
        await asyncio.sleep(fault.duration_seconds)
        for regained in self._proxies:
            await regained.restore_path()
        self._are_paths_lost = False

    async def _make_swap_fail(self, fault: PlannedFault) -> None:
        name = self._choose_process(fault, 'engine')
        if name not in self._disrupted_processes:
            message = {'fails_swaps': 1}
            await self._fleet.controls.send(name, 'POST', '/misbehave', message)

    def _choose_process(self, fault: PlannedFault, kind: str) -> str:
        names = [
            name
            for name in self._fleet.processes.names
            if name.startswith(f'{kind}-')
        ]
        return names[fault.choice % len(names)]
