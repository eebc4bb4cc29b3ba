"""Keep the table of targets up to date by periodic reads."""

import asyncio

from loguru import logger

from ladder_clients.engines import EngineClient
from ladder_clients.platform import HostList
from ladder_clients.transport import TransportError
from ladder_core.errors import StoreUnavailableError
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_core.values import HostKind
from ladder_node.targets.table import Target, TargetTable

_HOST_LIST_INTERVAL_SECONDS = 1
_ENGINE_STATE_INTERVAL_SECONDS = 1


class TargetWatcher(Component):
    """
    Read the host list and the status of the engines periodically.

    Parameters
    ----------
    table : TargetTable
        Table that is updated.
    hosts : HostList
        Reads the platform's host list.
    engines : EngineClient
        Reads the status of engines.
    timers : TimerService
        Schedules the reads.

    """

    def __init__(
        self,
        table: TargetTable,
        hosts: HostList,
        engines: EngineClient,
        timers: TimerService,
    ) -> None:
        self._table = table
        self._hosts = hosts
        self._engines = engines
        self._timers = timers
        self._periodic_calls: list[PeriodicCall] = []

    async def start(self) -> None:
        """Read the list and the states once, then periodically."""
        await self._read_hosts()
        await self._read_states()
        self._periodic_calls = [
            self._timers.call_periodically(
                _HOST_LIST_INTERVAL_SECONDS, self._read_hosts
            ),
            self._timers.call_periodically(
                _ENGINE_STATE_INTERVAL_SECONDS, self._read_states
            ),
        ]

    async def close(self) -> None:
        """Stop the periodic reads."""
        while self._periodic_calls:
            await self._periodic_calls.pop().close()

    async def refresh(self) -> None:
        """Read the host list now."""
        await self._read_hosts()

    async def _read_hosts(self) -> None:
        try:
            entries = await self._hosts.read()
        except StoreUnavailableError as error:
            logger.warning('host list not read: {}', error)
            return
        self._table.update_hosts(entries)

    async def _read_states(self) -> None:
        engines = self._table.list_all(HostKind.engine)
        await asyncio.gather(*(self._read_state(target) for target in engines))

    async def _read_state(self, target: Target) -> None:
        name = target.entry.name
        try:
            state = await self._engines.read_state(target.entry.address)
        except TransportError as error:
            self._table.suspend(name, error.kind)
            return
        self._table.update_state(name, state)
