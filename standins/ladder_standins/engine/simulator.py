"""Simulation of an engine: batch, weight versions, run times and faults."""

import asyncio
import os
from collections import OrderedDict
from collections.abc import AsyncGenerator

import aiohttp
import msgspec

from ladder_clients.engines import (
    Chunk,
    EngineState,
    GenerateRequest,
    Order,
    Role,
)
from ladder_clients.transport import ORIGIN_HEADER
from ladder_standins.engine.continuous_batch import ContinuousBatch
from ladder_standins.engine.settings import EngineSettings
from ladder_standins.engine.text import draw_length, make_token
from ladder_standins.records import RecordWriter

_EXIT_CRASH = 71
_CRASH_MARKER = 'crash-the-engine'
_OK_STATUS = 200
_STALL_SECONDS = 3600


class EngineFaults(msgspec.Struct, frozen=True):
    """
    Faults that an engine shows.

    Attributes
    ----------
    fails_swaps : int
        Number of further swaps to another version that fail.
    lies_about_version : bool
        Whether a swap changes the version that the engine reports, but not
        the one that it serves.
    stalls_streams : bool
        Whether streams send no further chunks but stay open.
    crosses_streams : bool
        Whether chunks carry the id of another request.
    cuts_streams : bool
        Whether streams end without the end marker.

    """

    fails_swaps: int = 0
    lies_about_version: bool = False
    stalls_streams: bool = False
    crosses_streams: bool = False
    cuts_streams: bool = False


class EngineSimulator:
    """
    Engine that generates in a batch and executes orders.

    Parameters
    ----------
    settings : EngineSettings
        Name, model, rates and limits of the engine.
    records : RecordWriter
        Receives each execution, chunk, order, swap and change of role.

    """

    def __init__(self, settings: EngineSettings, records: RecordWriter) -> None:
        self.is_leaving = False
        self.faults = EngineFaults()
        self._settings = settings
        self._records = records
        self._batch = ContinuousBatch(settings.batch_limit)
        self._role = Role.serving
        self._served_version = settings.version
        self._reported_version = settings.version
        self._fencing_token = 0
        self._swap: asyncio.Task[None] | None = None
        self._prefix_cache: OrderedDict[str, None] = OrderedDict()

    @property
    def is_accepting(self) -> bool:
        """Whether the engine accepts new requests."""
        return self._role is Role.serving and not self.is_leaving

    def read_state(self) -> EngineState:
        """Return the state that the engine reports, which may be false."""
        return EngineState(
            version=self._reported_version,
            role=self._role,
            leaving=self.is_leaving,
            running=self._batch.running,
            queued=self._batch.queued,
            batch_limit=self._settings.batch_limit,
            swapping=self._swap is not None and not self._swap.done(),
            fencing_token=self._fencing_token,
        )

    def should_refuse(self, order: Order) -> bool:
        """
        Return whether an order is refused because its token is stale.

        The newest fencing token is remembered, and the order is recorded.
        """
        is_stale = order.fencing_token < self._fencing_token
        self._fencing_token = max(self._fencing_token, order.fencing_token)
        self._records.add(
            'order',
            order.kind,
            token=order.fencing_token,
            version=order.version,
            old=is_stale,
        )
        return is_stale and self._settings.checks_fencing

    def start_load(self, version: int) -> None:
        """Start to load a version; a load in progress is cancelled."""
        if version == self._reported_version == self._served_version:
            return
        if self._swap is not None:
            self._swap.cancel()
        self._swap = asyncio.create_task(self._fetch_and_swap(version))

    def change_role(self, role: Role) -> None:
        """Change the role; running requests continue."""
        self._role = role
        self._records.add('role', self._settings.name, role=role)

    async def generate(
        self,
        request: GenerateRequest,
        cancelled: asyncio.Event,
    ) -> AsyncGenerator[Chunk, None]:
        """Yield the chunks of a generation, with the end marker last."""
        async with self._batch.hold_slot(request.priority):
            self._start_execution(request)
            await self._prefill(request)
            length = draw_length(
                request.prompt,
                request.seed,
                request.max_tokens,
            )
            position = request.prefix_tokens
            while position < length and not cancelled.is_set():
                count = min(self._settings.chunk_tokens, length - position)
                await self._decode(count)
                yield self._make_chunk(request, position, count)
                position += count
            if cancelled.is_set() or self.faults.cuts_streams:
                return
        self._records.add('finished', request.request_id, tokens=length)
        yield Chunk(request.request_id, end=True, total_tokens=length)

    def _start_execution(self, request: GenerateRequest) -> None:
        self._records.add(
            'executed',
            request.request_id,
            prompt=request.prompt,
            seed=request.seed,
        )
        if _CRASH_MARKER in request.prompt:
            os._exit(_EXIT_CRASH)

    async def _prefill(self, request: GenerateRequest) -> None:
        tokens = len(request.prompt.split()) + request.prefix_tokens
        if request.prompt in self._prefix_cache:
            tokens = request.prefix_tokens
        self._prefix_cache[request.prompt] = None
        self._prefix_cache.move_to_end(request.prompt)
        if len(self._prefix_cache) > self._settings.cache_prompts:
            self._prefix_cache.popitem(last=False)
        await asyncio.sleep(tokens / self._settings.prefill_tokens_per_second)

    async def _decode(self, count: int) -> None:
        if self.faults.stalls_streams:
            await asyncio.sleep(_STALL_SECONDS)
        batch_load = self._batch.running / self._settings.batch_limit
        rate = self._settings.tokens_per_second / (1 + batch_load)
        await asyncio.sleep(count / rate)

    def _make_chunk(
        self,
        request: GenerateRequest,
        position: int,
        count: int,
    ) -> Chunk:
        tokens = [
            make_token(request.prompt, request.seed, index)
            for index in range(position, position + count)
        ]
        request_id = request.request_id
        self._records.add(
            'generated',
            request_id,
            version=self._served_version,
            position=position,
            tokens=count,
        )
        if self.faults.crosses_streams:
            request_id = f'{request_id}-crossed'
        return Chunk(request_id, ''.join(tokens), count, self._served_version)

    async def _fetch_and_swap(self, version: int) -> None:
        url = (
            f'http://{self._settings.weights_address}/v1/models/'
            f'{self._settings.model}/{version}'
        )
        async with aiohttp.ClientSession() as session:
            headers = {ORIGIN_HEADER: self._settings.origin}
            async with session.get(url, headers=headers) as response:
                await response.read()
                is_fetched = response.status == _OK_STATUS
        if is_fetched:
            self._complete_swap(version)

    def _complete_swap(self, version: int) -> None:
        if self.faults.fails_swaps:
            remaining = self.faults.fails_swaps - 1
            self.faults = msgspec.structs.replace(
                self.faults,
                fails_swaps=remaining,
            )
            return
        self._reported_version = version
        if not self.faults.lies_about_version:
            self._served_version = version
        self._records.add('swapped', self._settings.name, version=version)
