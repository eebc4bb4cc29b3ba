"""Inject the faults of a schedule into a running system."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

from ladder_core.values import HostState
from ladder_standins.faults import Fault
from ladder_standins.faults import FaultKind as StandinFault
from ladder_standins.fleet import Fleet, Layout
from ladder_standins.operator import ListFiles, apply_lists
from ladder_standins.tcp_proxy import TcpProxy
from proof.faults.schedule import FaultKind, PlannedFault, Schedule
from proof.history import History, Leaving, PlannedStop, RevisionSeen

_SLOW_CALL_SECONDS = 5
_TABLE = 'table'
_STORE_FAULTS = {  # noqa: WPS407 read only
    FaultKind.store_down: Fault(StandinFault.refuse),
    FaultKind.store_slow: Fault(
        StandinFault.delay,
        seconds=_SLOW_CALL_SECONDS,
    ),
    FaultKind.store_silent: Fault(StandinFault.silence),
    FaultKind.store_answers_lost: Fault(
        StandinFault.lose_answer,
        path='/v1/transactions',
    ),
}

_Action = Callable[[PlannedFault], Awaitable[None]]


class Injector:
    """
    Make a running system suffer.

    Parameters
    ----------
    fleet : Fleet
        The system.
    layout : Layout
        What it consists of.
    files : ListFiles
        The operators' files, for edits.
    relays : sequence of TcpProxy
        Relays before the engines.
    history : History
        Takes stops, leavings and accepted edits.

    """

    def __init__(
        self,
        fleet: Fleet,
        layout: Layout,
        files: ListFiles,
        relays: Sequence[TcpProxy],
        history: History,
    ) -> None:
        self._fleet = fleet
        self._layout = layout
        self._files = files
        self._relays = relays
        self._history = history
        self._editing = asyncio.Lock()
        self._revision = 1
        self._busy: set[str] = set()
        self._actions: dict[FaultKind, _Action] = {
            **dict.fromkeys(_STORE_FAULTS, self._hurt_store),
            FaultKind.edit_lists: self._edit_lists,
            FaultKind.race_edits: self._edit_lists,
            FaultKind.silence_connections: self._silence_links,
            FaultKind.cut_connections: self._cut_links,
            FaultKind.swap_fails: self._fail_swap,
            FaultKind.engine_leaves: self._let_leave,
        }

    async def inject(self, schedule: Schedule) -> None:
        """Inject all faults, each at its time, and wait for their ends."""
        await asyncio.gather(*(self._inject(one) for one in schedule.faults))

    async def _inject(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at)
        act = self._actions.get(fault.kind, self._hurt_process)
        await act(fault)

    async def _hurt_store(self, fault: PlannedFault) -> None:
        controls = self._fleet.controls
        await controls.add_fault(_TABLE, _STORE_FAULTS[fault.kind])
        await asyncio.sleep(fault.seconds)
        await controls.add_fault(_TABLE, Fault(StandinFault.clear))

    async def _hurt_process(self, fault: PlannedFault) -> None:
        verb, _, kind = fault.kind.partition('-')
        name = self._choose(fault, kind)
        if name in self._busy:
            return
        self._busy.add(name)
        match verb:
            case 'kill':
                await self._kill(name, fault.seconds)
            case 'freeze':
                await self._freeze(name, fault.seconds)
            case 'stop':
                await self._stop(name)
        self._busy.discard(name)

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
        self._history.stops.append(stop)
        await self._fleet.processes.restart(name)

    async def _let_leave(self, fault: PlannedFault) -> None:
        # The last engine leaves, so that the others can carry the load.
        engine = self._layout.engines[-1]
        entry = self._fleet.make_engine_entry(engine, HostState.leaving)
        await self._fleet.controls.add_host(
            replace(entry, address=self._relays[-1].address),
        )
        self._history.leavings.append(Leaving(engine.name, time.monotonic()))

    async def _edit_lists(self, fault: PlannedFault) -> None:
        operators = 2 if fault.kind is FaultKind.race_edits else 1
        async with self._editing:
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
            edit = RevisionSeen('', time.monotonic(), revision + 1)
            self._history.accepted.append(edit)

    async def _silence_links(self, fault: PlannedFault) -> None:
        for relay in self._relays:
            relay.silence_open_connections()

    async def _cut_links(self, fault: PlannedFault) -> None:
        relay = self._relays[fault.choice % len(self._relays)]
        relay.cut()
        await asyncio.sleep(fault.seconds)
        relay.restore()

    async def _fail_swap(self, fault: PlannedFault) -> None:
        name = self._choose(fault, 'engine')
        if name not in self._busy:
            message = {'fails_swaps': 1}
            await self._fleet.controls.send(name, 'POST', '/misbehave', message)

    def _choose(self, fault: PlannedFault, kind: str) -> str:
        names = [
            name
            for name in self._fleet.processes.names
            if name.startswith(f'{kind}-')
        ]
        return names[fault.choice % len(names)]
