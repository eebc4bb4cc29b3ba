"""A node among stand-ins, and its resource usage over a time window."""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from bench.deployments import DEPLOYMENTS, MODEL
from bench.experiment import (
    DeploymentName,
    Experiment,
    TrainerSettings,
    Variant,
)
from bench.plans import write_plans
from bench.slopes.usage import Usage, read_cpu, read_memory
from ladder_core.values import HostEntry, HostKind
from ladder_standins.fleet import EngineLayout, Fleet, Layout, NodeLayout
from ladder_standins.network import NETWORK_PATH, Traffic
from ladder_standins.operator import apply_lists

NODE = 'node-1'
TRAINER = 'notes'
SERVICE_POOL = 'taproom'

_DATA_CENTRE = 'leith'
_REGION = 'lowlands'
_POOL = 'brewmind'
_IDLE_POOL = 'quiet'
_IDLE_ENGINE = 'engine-3'
_COUNTED_PROCESSES = ('table', 'objects', 'weights', 'hosts', _IDLE_ENGINE)
_SETTLE_SECONDS = 1.5
_FAST_TOKENS_PER_SECOND = 2000
_LARGE_BATCH_LIMIT = 256
_PEER_BYTES = 'ladder_peer_bytes_total'


@dataclass(frozen=True, slots=True)
class CounterReading:
    """
    Values of the counters at one time.

    Attributes
    ----------
    at : float
        Time in seconds of the monotonic clock.
    cpu : float
        Processor time of the node in milliseconds.
    table : Traffic
        Requests and bytes of the table service.
    control_bytes : int
        Bytes sent and received by the services of the platform and by an
        engine that gets no requests.
    peer_bytes : int
        Bytes of messages between nodes, as counted by the node.

    """

    at: float
    cpu: float
    table: Traffic
    control_bytes: int
    peer_bytes: int


class NodeProbe:
    """
    A system with one node, whose resource usage is measured.

    Parameters
    ----------
    folder : Path
        Folder for the files of the processes.

    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.fleet = Fleet(_make_layout(), folder)

    @property
    def address(self) -> str:
        """Address of the entry server of the node."""
        return self.fleet.processes.find_address(NODE)

    async def start(self) -> None:
        """Start the processes, apply the lists and wait for the node."""
        await self.fleet.start()
        cellarwatch = DEPLOYMENTS[DeploymentName.cellarwatch]
        files = write_plans(self._folder, _make_experiment(), cellarwatch)
        status = await apply_lists(self.fleet, files)
        if status:
            raise RuntimeError(
                f'kumquatladder apply failed with exit status {status}'
            )
        await self.fleet.controls.wait_for_success(NODE, '/readyz')

    async def close(self) -> None:
        """Stop the processes."""
        await self.fleet.close()

    async def list_engine(self, name: str) -> None:
        """Add an engine to the host list, at the address of the idle engine."""
        await self._list_target(name, HostKind.engine, _IDLE_ENGINE)

    async def start_peer(self, name: str) -> None:
        """Start another node, which gossips with the measured one."""
        await self.fleet.start_node(NodeLayout(name, _DATA_CENTRE, _REGION))
        await self.fleet.controls.wait_for_success(name, '/readyz')

    async def list_peer(self, name: str) -> None:
        """Add an entry host to the host list, without starting a node."""
        await self.fleet.controls.add_host(
            HostEntry(
                name,
                HostKind.entry,
                '127.0.0.1:9',
                _DATA_CENTRE,
                _REGION,
            ),
        )

    async def measure(self, window_seconds: float) -> Usage:
        """Return the usage of the node over a window, after a settling time."""
        await asyncio.sleep(_SETTLE_SECONDS)
        before = await self.read()
        await asyncio.sleep(window_seconds)
        return self.compare(before, await self.read())

    def compare(
        self,
        before: CounterReading,
        after: CounterReading,
        seconds: float = 0,
    ) -> Usage:
        """
        Return the resource usage between two readings.

        Parameters
        ----------
        before, after : CounterReading
            Values of the counters at the start and at the end.
        seconds : float, optional
            Time over which the same work is spread at the target size;
            zero for the time between the readings.

        """
        elapsed_seconds = seconds or after.at - before.at
        table_reads = after.table.reads - before.table.reads
        table_writes = after.table.writes - before.table.writes
        control_bytes = after.control_bytes - before.control_bytes
        return Usage(
            cpu=(after.cpu - before.cpu) / elapsed_seconds,
            memory=read_memory(self.fleet.processes.find_pid(NODE)),
            reads=table_reads / elapsed_seconds,
            writes=table_writes / elapsed_seconds,
            control_bytes=control_bytes / elapsed_seconds,
            peer_bytes=(after.peer_bytes - before.peer_bytes) / elapsed_seconds,
        )

    async def read(self) -> CounterReading:
        """Return the current values of the counters."""
        traffic = {
            name: await self._read_traffic(name) for name in _COUNTED_PROCESSES
        }
        return CounterReading(
            at=time.monotonic(),
            cpu=read_cpu(self.fleet.processes.find_pid(NODE)),
            table=traffic['table'],
            control_bytes=sum(counted.bytes for counted in traffic.values()),
            peer_bytes=await self._read_peer_bytes(),
        )

    async def _list_target(self, name: str, kind: HostKind, at: str) -> None:
        entry = HostEntry(
            name,
            kind,
            self.fleet.processes.find_address(at),
            _DATA_CENTRE,
            _REGION,
            pool=_IDLE_POOL,
            model=MODEL,
        )
        await self.fleet.controls.add_host(entry)

    async def _read_peer_bytes(self) -> int:
        body = await self.fleet.controls.send(NODE, 'GET', '/metrics')
        families = text_string_to_metric_families(body.decode())
        return sum(
            int(sample.value)
            for family in families
            for sample in family.samples
            if sample.name == _PEER_BYTES
        )

    async def _read_traffic(self, name: str) -> Traffic:
        body = await self.fleet.controls.send(name, 'GET', NETWORK_PATH)
        return msgspec.json.decode(body, type=Traffic)


def _make_layout() -> Layout:
    fast_engines = [
        EngineLayout(
            f'engine-{number}',
            _DATA_CENTRE,
            _REGION,
            model=MODEL,
            pool=_POOL,
            tokens_per_second=_FAST_TOKENS_PER_SECOND,
            batch_limit=_LARGE_BATCH_LIMIT,
        )
        for number in (1, 2)
    ]
    idle_engine = EngineLayout(
        _IDLE_ENGINE,
        _DATA_CENTRE,
        _REGION,
        model=MODEL,
        pool=_IDLE_POOL,
    )
    return Layout(
        nodes=(NodeLayout(NODE, _DATA_CENTRE, _REGION),),
        engines=(*fast_engines, idle_engine),
        services=1,
        service_pool=SERVICE_POOL,
    )


def _make_experiment() -> Experiment:
    return Experiment(
        name='slopes',
        deployments=(DeploymentName.cellarwatch,),
        variants=(Variant(name='default'),),
        seeds=(1,),
        trainers=(TrainerSettings(name=TRAINER),),
    )
