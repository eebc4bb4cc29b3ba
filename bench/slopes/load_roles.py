"""Roles of a node that process requests."""

import asyncio
import contextlib
import uuid

import aiohttp

from bench.deployments import MODEL
from bench.experiment import InteractiveSettings
from bench.interactive import InteractiveLoad
from bench.plans import APP_PLAN, make_secret
from bench.slopes.probe import SERVICE_POOL, TRAINER, NodeProbe
from bench.slopes.role import Role, Scale
from bench.slopes.usage import Usage
from ladder_standins.trainer import StepRequest, Trainer

_WINDOW_SECONDS = 4
_STEP_SECONDS = 240
_SAMPLES_PER_GROUP = 4
_TOKENS_PER_SAMPLE = 16


class EntryRole(Role):
    """Processing of interactive requests by their entry host."""

    title = 'entry'
    scale = Scale('requests/s', (3, 8, 15), 14.7)
    is_control = False

    async def measure(self, size: float) -> Usage:
        """Send requests at a rate and return the usage."""
        return await self._measure_load(size, _TOKENS_PER_SAMPLE)

    async def _measure_load(self, rate: float, tokens: int) -> Usage:
        settings = InteractiveSettings(per_second=rate, tokens=tokens)
        load = InteractiveLoad(settings, [self._probe.address], 1, 1, 0)
        task = asyncio.create_task(load.run())
        try:
            return await self._probe.measure(_WINDOW_SECONDS)
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


class RouterRole(EntryRole):
    """Routing of tokens from engines to callers."""

    title = 'router'
    scale = Scale('tokens/s in chunks of 8', (240, 960, 1920), 6111)

    _rate = 3

    async def measure(self, size: float) -> Usage:
        """Send few requests with long responses and return the usage."""
        return await self._measure_load(self._rate, int(size / self._rate))


class KeyedRole(Role):
    """Calls of a service with idempotency keys, which run at most once."""

    title = 'keyed calls'
    scale = Scale('keyed calls/s', (3, 8, 15), 14.7)
    is_control = False

    async def measure(self, size: float) -> Usage:
        """Send calls with idempotency keys at a rate and return the usage."""
        task = asyncio.create_task(self._send_calls(1 / size))
        try:
            return await self._probe.measure(_WINDOW_SECONDS)
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _send_calls(self, interval_seconds: float) -> None:
        # Each call gets a new connection: a persistent one may be closed
        # during a call, and the call must not be repeated.
        connector = aiohttp.TCPConnector(force_close=True)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            asyncio.TaskGroup() as calls,
        ):
            while True:
                calls.create_task(self._call(session))
                await asyncio.sleep(interval_seconds)

    async def _call(self, session: aiohttp.ClientSession) -> None:
        url = f'http://{self._probe.address}/v1/services/{SERVICE_POOL}/claims'
        headers = {
            'authorization': f'Bearer {make_secret(APP_PLAN)}',
            'idempotency-key': uuid.uuid4().hex,
        }
        async with session.post(url, data=b'{}', headers=headers) as response:
            await response.read()
            response.raise_for_status()


class StepRole(Role):
    """Production of the samples of a step."""

    title = 'step duty'
    scale = Scale('samples a step of 240 s', (64, 128, 256), 2048)
    is_control = False

    def __init__(self, probe: NodeProbe) -> None:
        super().__init__(probe)
        self._steps = 0

    async def measure(self, size: float) -> Usage:
        """Run a step; return its usage over the step time of the target."""
        trainer = Trainer(
            TRAINER,
            make_secret(TRAINER),
            [self._probe.address],
            1,
        )
        self._steps += 1
        prompts = tuple(
            f'[length={_TOKENS_PER_SAMPLE}] step {self._steps} line {group}'
            for group in range(int(size) // _SAMPLES_PER_GROUP)
        )
        step = StepRequest(self._steps, 0, MODEL, prompts, _SAMPLES_PER_GROUP)
        before = await self._probe.read()
        await trainer.run_step(step)
        after = await self._probe.read()
        usage = self._probe.compare(before, after, _STEP_SECONDS)
        await trainer.close_step(self._steps)
        return usage
