"""What is measured of each role of a node."""

import asyncio
import contextlib
import time
import tracemalloc
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace

import msgspec

from bench.deployments import MODEL
from bench.experiment import InteractiveModel
from bench.interactive import InteractiveLoad
from bench.plans import make_secret
from bench.slopes.probe import TRAINER, NodeProbe
from bench.slopes.usage import Usage
from ladder_clients.table import Transaction, Write
from ladder_core.timeline import HybridClock, TimeLine
from ladder_core.timers import SystemTimerService
from ladder_core.values import Allowance, Lists, Plan
from ladder_standins.trainer import StepRequest, Trainer

_WINDOW_SECONDS = 4
_STEP_SECONDS = 240
_SAMPLES_PER_GROUP = 4
_TOKENS = 16
_LISTED_PLANS = 100
_HASH_DIGITS = 64
_FIRST_REVISION = 1000
_MEGABYTE = 1_000_000
_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Scale:
    """
    Sizes of a role.

    Attributes
    ----------
    unit : str
        What is counted.
    sizes : tuple of float
        Sizes to measure.
    target : float
        Size at one node of the target.

    """

    unit: str
    sizes: tuple[float, ...]
    target: float


class Role(ABC):
    """
    One role of a node.

    Parameters
    ----------
    probe : NodeProbe
        The node to measure.

    """

    title: str
    scale: Scale
    is_control = True

    def __init__(self, probe: NodeProbe) -> None:
        self._probe = probe

    @abstractmethod
    async def measure(self, size: float) -> Usage:
        """Return what the node spends at a size."""


class MembershipRole(Role):
    """Entry hosts in the node's tables."""

    title = 'membership'
    scale = Scale('peers listed', (20, 100, 200), 359)

    async def measure(self, size: float) -> Usage:
        """List entry hosts up to a size and measure."""
        for number in range(int(size)):
            await self._probe.list_peer(f'peer-{number}')
        return await self._probe.measure(_WINDOW_SECONDS)


class PoolRole(Role):
    """Replicas in the node's tables, and their states."""

    title = 'pool duty and router table'
    scale = Scale('replicas', (20, 60, 120), 1700)

    async def measure(self, size: float) -> Usage:
        """List engines up to a size and measure."""
        for number in range(int(size)):
            await self._probe.list_engine(f'replica-{number}')
        return await self._probe.measure(_WINDOW_SECONDS)


class EntryRole(Role):
    """Interactive requests."""

    title = 'entry'
    scale = Scale('requests/s', (3, 8, 15), 14.7)
    is_control = False

    async def measure(self, size: float) -> Usage:
        """Send requests at a rate and measure."""
        return await self._measure_load(size, _TOKENS)

    async def _measure_load(self, rate: float, tokens: int) -> Usage:
        model = InteractiveModel(per_second=rate, tokens=tokens)
        load = InteractiveLoad(model, [self._probe.address], 1, 1, 0)
        task = asyncio.create_task(load.run())
        try:
            return await self._probe.measure(_WINDOW_SECONDS)
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


class RouterRole(EntryRole):
    """Tokens that pass the node."""

    title = 'router'
    scale = Scale('tokens/s in chunks of 8', (240, 960, 1920), 6111)

    _rate = 3

    async def measure(self, size: float) -> Usage:
        """Send few requests with long answers and measure."""
        return await self._measure_load(self._rate, int(size / self._rate))


class StepRole(Role):
    """Samples of a step."""

    title = 'step duty'
    scale = Scale('samples a step of 240 s', (64, 128, 256), 2048)
    is_control = False

    def __init__(self, probe: NodeProbe) -> None:
        super().__init__(probe)
        self._steps = 0

    async def measure(self, size: float) -> Usage:
        """Run one step and spread its cost over the target's step time."""
        trainer = Trainer(
            TRAINER,
            make_secret(TRAINER),
            [self._probe.address],
            1,
        )
        self._steps += 1
        prompts = tuple(
            f'[length={_TOKENS}] step {self._steps} line {group}'
            for group in range(int(size) // _SAMPLES_PER_GROUP)
        )
        step = StepRequest(self._steps, 0, MODEL, prompts, _SAMPLES_PER_GROUP)
        before = await self._probe.read()
        await trainer.run_step(step)
        after = await self._probe.read()
        usage = self._probe.compare(before, after, _STEP_SECONDS)
        await trainer.close_step(self._steps)
        return usage


class ConfigurationRole(Role):
    """Changes of the operators' lists."""

    title = 'configuration'
    scale = Scale('changes/s of lists of 100 plans', (0.5, 1, 2), 0.1)

    def __init__(self, probe: NodeProbe) -> None:
        super().__init__(probe)
        self._revision = _FIRST_REVISION

    async def measure(self, size: float) -> Usage:
        """Change the lists at a rate and measure."""
        task = asyncio.create_task(self._change(1 / size))
        try:
            usage = await self._probe.measure(_WINDOW_SECONDS)
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        # The changes themselves are the bench's own traffic.
        own = size * len(msgspec.json.encode(_make_lists(self._revision)))
        return replace(
            usage,
            writes=0,
            control_bytes=usage.control_bytes - own,
        )

    async def _change(self, period: float) -> None:
        while True:
            self._revision += 1
            body = msgspec.json.encode(_make_lists(self._revision)).decode()
            write = Write('configuration', 'lists', body)
            token = f'slopes-{self._revision}'
            await self._probe.fleet.controls.send(
                'table',
                'POST',
                '/v1/transactions',
                Transaction(token, (), (write,)),
            )
            await asyncio.sleep(period)


class TimelineRole(Role):
    """Events that a node keeps."""

    title = 'time line'
    scale = Scale('events in 240 s', (1024, 2048, 4096), 4096)

    async def measure(self, size: float) -> Usage:
        """Record events in this process, which needs no node."""
        timers = SystemTimerService()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        timeline = TimeLine('node', HybridClock(timers), int(size))
        for number in range(int(size)):
            timeline.record('sample-finished', f'notes/{number}', version=1)
        memory = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        return Usage(
            cpu=_time_records(timeline, int(size)) / _STEP_SECONDS,
            memory=memory / _MEGABYTE,
        )


def _time_records(timeline: TimeLine, size: int) -> float:
    """Return the milliseconds that recording events takes."""
    begin = time.process_time()
    for number in range(size):
        timeline.record('sample-finished', f'notes/{number}', version=1)
    return (time.process_time() - begin) * _MILLISECONDS


def _make_lists(revision: int) -> Lists:
    names = [f'plan-{number}' for number in range(_LISTED_PLANS)]
    return Lists(
        revision=revision,
        plans=tuple(
            Plan(name, 'customer', name.zfill(_HASH_DIGITS)) for name in names
        ),
        allowances=tuple(Allowance(name, ('brewmind',)) for name in names),
    )


ROLES: tuple[type[Role], ...] = (
    EntryRole,
    RouterRole,
    StepRole,
    PoolRole,
    ConfigurationRole,
    MembershipRole,
    TimelineRole,
)
