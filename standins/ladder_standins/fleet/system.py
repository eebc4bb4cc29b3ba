"""Whole system of processes on the loopback interface."""

import asyncio
from pathlib import Path

import yaml

from ladder_core.values import HostEntry, HostKind, HostState
from ladder_standins.fleet.controls import Controls
from ladder_standins.fleet.layout import EngineLayout, Layout, NodeLayout
from ladder_standins.fleet.processes import ProcessGroup

_PLATFORM = ('table', 'objects', 'weights', 'hosts')
_SCORER_POOL = 'scorers'
_STANDIN = 'ladder-standin'
_ADDRESSES_TTL_SECONDS = 1


class Fleet:
    """
    Start and stop the stand-ins and nodes of a layout as processes.

    Parameters
    ----------
    layout : Layout
        Processes to start, and their settings.
    folder : Path
        Folder for settings, log files and records; it is created if needed.

    """

    def __init__(self, layout: Layout, folder: Path) -> None:
        self._layout = layout
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._processes = ProcessGroup(folder)
        self._controls = Controls(self._processes)

    @property
    def processes(self) -> ProcessGroup:
        """Group of the processes of the system."""
        return self._processes

    @property
    def controls(self) -> Controls:
        """HTTP controls of the stand-ins and nodes."""
        return self._controls

    async def start(self) -> None:
        """Start all processes and wait until the nodes answer."""
        await self.start_platform()
        await self.start_targets()
        for node in self._layout.nodes:
            await self.start_node(node)
        for node in self._layout.nodes:
            await self._controls.wait_for_success(node.name, '/healthz')

    async def close(self) -> None:
        """Stop the nodes first, then the targets and the platform."""
        nodes = {node.name for node in self._layout.nodes}
        for names in (nodes, set(self._processes.names) - nodes):
            running = names.intersection(self._processes.names)
            await asyncio.gather(*map(self._processes.stop, running))
        self._processes.release_addresses()

    def find_record_path(self, name: str) -> Path:
        """Return the path of the file with the records of a stand-in."""
        return self._folder / f'{name}.records'

    async def start_platform(self) -> None:
        """Start table, object store, weight store and host list."""
        lag = str(self._layout.lag_seconds)
        record = str(self.find_record_path('table'))
        await self._start_standin('table', 'table', '--record', record)
        await self._start_standin('objects', 'objects')
        await self._start_standin(
            'weights',
            'weights',
            f'--size-bytes={self._layout.weight_bytes}',
            f'--bytes-per-second={self._layout.weight_bytes_per_second}',
        )
        await self._start_standin('hosts', 'hosts', '--lag-seconds', lag)
        for name in _PLATFORM:
            await self._processes.wait_until_listening(name)

    async def start_targets(self) -> None:
        """Start engines, services and scorers; add them to the host list."""
        services = range(1, self._layout.services + 1)
        scorers = range(1, self._layout.scorers + 1)
        await asyncio.gather(
            *(self.start_engine(engine) for engine in self._layout.engines),
            *(self._start_service(f'service-{number}') for number in services),
            *(self._start_scorer(f'scorer-{number}') for number in scorers),
        )

    async def start_engine(self, engine: EngineLayout) -> None:
        """Start an engine and add it to the host list."""
        flags = [
            f'--name={engine.name}',
            f'--model={engine.model}',
            f'--origin={engine.region}/{engine.data_centre}',
            f'--weights-address={self._processes.find_address("weights")}',
            f'--tokens-per-second={engine.tokens_per_second}',
            f'--batch-limit={engine.batch_limit}',
            f'--record={self.find_record_path(engine.name)}',
        ]
        if not engine.checks_fencing:
            flags.append('--no-checks-fencing')
        await self._start_standin('engine', engine.name, *flags)
        await self._processes.wait_until_listening(engine.name)
        entry = self.make_engine_entry(engine)
        await self._controls.add_host(entry)

    def make_engine_entry(
        self,
        engine: EngineLayout,
        state: HostState = HostState.live,
    ) -> HostEntry:
        """Return the entry of an engine in the host list."""
        return HostEntry(
            engine.name,
            HostKind.engine,
            self._processes.find_address(engine.name),
            engine.data_centre,
            engine.region,
            state=state,
            pool=engine.pool,
            model=engine.model,
            checks_fencing=engine.checks_fencing,
        )

    async def start_node(self, node: NodeLayout) -> None:
        """Start a node and add it to the host list."""
        entry = HostEntry(
            node.name,
            HostKind.entry,
            self._processes.reserve_address(node.name),
            node.data_centre,
            node.region,
            peer_address=self._processes.reserve_address(f'{node.name}-peer'),
        )
        path = self._write_settings(entry)
        await self._processes.spawn(node.name, 'kumquatladderd', str(path))
        await self._controls.add_host(entry)

    def _write_settings(self, entry: HostEntry) -> Path:
        settings = {
            'name': entry.name,
            'data_centre': entry.data_centre,
            'region': entry.region,
            'entry_address': entry.address,
            'peer_address': entry.peer_address,
            'addresses_ttl_seconds': _ADDRESSES_TTL_SECONDS,
            'policies': dict(self._layout.policies),
            'platform': {
                kind: self._processes.find_address(kind) for kind in _PLATFORM
            },
        }
        path = self._folder / f'{entry.name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        return path

    async def _start_service(self, name: str) -> None:
        record = f'--record={self.find_record_path(name)}'
        await self._start_standin('service', name, f'--name={name}', record)
        pool = self._layout.service_pool
        await self._list_target(name, HostKind.service, pool)

    async def _start_scorer(self, name: str) -> None:
        await self._start_standin('scorer', name)
        await self._list_target(name, HostKind.scorer, _SCORER_POOL)

    async def _list_target(self, name: str, kind: HostKind, pool: str) -> None:
        await self._processes.wait_until_listening(name)
        number = int(name.rpartition('-')[2]) - 1
        node = self._layout.nodes[number % len(self._layout.nodes)]
        await self._controls.add_host(
            HostEntry(
                name,
                kind,
                self._processes.find_address(name),
                node.data_centre,
                node.region,
                pool=pool,
            ),
        )

    async def _start_standin(self, kind: str, name: str, *flags: str) -> None:
        address = self._processes.reserve_address(name)
        port = address.rpartition(':')[2]
        await self._processes.spawn(
            name,
            _STANDIN,
            kind,
            f'--port={port}',
            *flags,
        )
