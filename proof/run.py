"""A run of a system under load and faults."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path

from ladder_standins.fleet import EngineLayout, Fleet, Layout, NodeLayout
from ladder_standins.operator import ListFiles, apply_lists, write_lists
from ladder_standins.tcp_proxy import TcpProxy
from ladder_standins.trainer import Trainer
from proof.faults import FaultInjector, FaultSchedule
from proof.history import History, read_target_records
from proof.load import (
    ClaimCaller,
    CompletionCaller,
    RecordingTrainer,
    RevisionObserver,
)
from proof.load.entry_hosts import Node
from proof.timelines import save_timelines

_SECRET = 'proof'
_STALENESS_BOUND = 1
_MODEL = 'cask'
_CALLERS_PER_KIND = 2
_STEP_TIMEOUT_SECONDS = 60
_LAYOUT = Layout(
    nodes=(
        NodeLayout('node-1', 'leith', 'lowlands'),
        NodeLayout('node-2', 'govan', 'lowlands'),
        NodeLayout('node-3', 'inverness', 'highlands'),
    ),
    engines=(
        EngineLayout('engine-1', 'leith', 'lowlands'),
        EngineLayout('engine-2', 'govan', 'lowlands', checks_fencing=False),
        EngineLayout('engine-3', 'inverness', 'highlands'),
    ),
)


async def run_history(schedule: FaultSchedule, folder: Path) -> History:
    """
    Run a system under load and a schedule of faults.

    Parameters
    ----------
    schedule : FaultSchedule
        Faults to inject, and the time for which load is sent.
    folder : Path
        Folder for the settings, logs, records and timelines of the
        processes.

    Returns
    -------
    History
        Events that callers, trainers and operators saw, and executions
        and tokens that the targets recorded.

    """
    history = History()
    fleet = Fleet(_LAYOUT, folder)
    proxies: list[TcpProxy] = []
    try:
        await _run(fleet, proxies, schedule, history, folder)
    finally:
        await _close(fleet, proxies, folder)
    read_target_records(history, _list_records(folder))
    return history


async def _close(fleet: Fleet, proxies: list[TcpProxy], folder: Path) -> None:
    names = [node.name for node in _LAYOUT.nodes]
    await save_timelines(fleet, names, folder)
    await fleet.close()
    for proxy in proxies:
        await proxy.close()


def _list_records(folder: Path) -> list[Path]:
    paths = sorted(folder.glob('*.records'))
    return [path for path in paths if path.stem != 'table']


async def _run(
    fleet: Fleet,
    proxies: list[TcpProxy],
    schedule: FaultSchedule,
    history: History,
    folder: Path,
) -> None:
    files = await _start(fleet, proxies, folder)
    nodes = [
        Node(node.name, fleet.processes.find_address(node.name))
        for node in _LAYOUT.nodes
    ]
    injector = FaultInjector(fleet, _LAYOUT, files, proxies, history)
    until = time.monotonic() + schedule.load_seconds
    async with _observe_revisions(nodes, history), asyncio.TaskGroup() as tasks:
        tasks.create_task(injector.inject(schedule))
        tasks.create_task(_train(fleet, nodes, history, until))
        for number in range(_CALLERS_PER_KIND):
            claim_caller = ClaimCaller(f'c{number}', nodes, _SECRET, history)
            tasks.create_task(claim_caller.run(until))
            completion_caller = CompletionCaller(
                f'q{number}', nodes, _SECRET, history
            )
            tasks.create_task(completion_caller.run(until))


async def _start(
    fleet: Fleet,
    proxies: list[TcpProxy],
    folder: Path,
) -> ListFiles:
    await fleet.start()
    for engine in _LAYOUT.engines:
        proxies.append(await _add_engine_proxy(fleet, engine))
    files = write_lists(folder, _SECRET, _STALENESS_BOUND)
    await apply_lists(fleet, files)
    for node in _LAYOUT.nodes:
        await fleet.controls.wait_for_success(node.name, '/readyz')
    return files


async def _add_engine_proxy(fleet: Fleet, engine: EngineLayout) -> TcpProxy:
    """Put a TCP proxy in front of an engine and list its address."""
    proxy = TcpProxy(fleet.processes.find_address(engine.name))
    await proxy.start()
    entry = fleet.make_engine_entry(engine)
    await fleet.controls.add_host(replace(entry, address=proxy.address))
    return proxy


async def _train(
    fleet: Fleet,
    nodes: list[Node],
    history: History,
    until: float,
) -> None:
    addresses = [node.address for node in nodes]
    trainer = RecordingTrainer(
        Trainer('cask-notes', _SECRET, addresses, _STALENESS_BOUND),
        _STALENESS_BOUND,
        history,
    )
    step = 0
    while trainer.has_time_left(until):
        async with asyncio.timeout(_STEP_TIMEOUT_SECONDS):
            await trainer.run_step(step)
        step += 1
        await fleet.controls.publish(_MODEL, step)


@contextlib.asynccontextmanager
async def _observe_revisions(
    nodes: list[Node], history: History
) -> AsyncIterator[None]:
    observer = RevisionObserver(nodes, history)
    task = asyncio.create_task(observer.run())
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
