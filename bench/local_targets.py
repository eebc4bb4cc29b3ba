"""Simulated engines and a scorer that run in this process."""

import asyncio
from collections.abc import AsyncIterator

import msgspec
import numpy as np

from ladder_clients.engines import (
    Chunk,
    EngineClient,
    EngineState,
    GenerateRequest,
    Order,
    OrderResponse,
)
from ladder_clients.services import (
    ServiceClient,
    ServiceRequest,
    ServiceResponse,
)
from ladder_standins.engine.settings import EngineSettings
from ladder_standins.engine.simulator import EngineSimulator
from ladder_standins.records import RecordWriter

_BATCH_LIMIT = 8
_SHORT_SAMPLE_TOKENS = 24
_LONG_SAMPLE_FACTOR = 20
_LONG_SAMPLE_SHARE = 0.1


class LocalEngines(EngineClient):
    """
    Client of simulated engines, which run in real time.

    Parameters
    ----------
    speeds : dict of str to float
        Tokens a second of a stream alone on an engine, by name of the
        engine.
    seed : int
        Seed that determines which samples are long.

    """

    def __init__(self, speeds: dict[str, float], seed: int) -> None:
        self._seed = seed
        self._simulators = {
            name: EngineSimulator(
                EngineSettings(
                    name,
                    'cask',
                    '',
                    batch_limit=_BATCH_LIMIT,
                    tokens_per_second=speed,
                ),
                RecordWriter(None),
            )
            for name, speed in speeds.items()
        }

    async def generate(
        self,
        address: str,
        request: GenerateRequest,
    ) -> AsyncIterator[Chunk]:
        """Generate a text whose length the seeds determine."""
        rng = np.random.default_rng((self._seed, request.seed))
        length = _SHORT_SAMPLE_TOKENS
        if rng.random() < _LONG_SAMPLE_SHARE:
            length *= _LONG_SAMPLE_FACTOR
        sized = msgspec.structs.replace(
            request,
            prompt=f'{request.prompt} [length={length}]',
        )
        simulator = self._simulators[address]
        async for chunk in simulator.generate(sized, asyncio.Event()):
            yield chunk

    async def cancel(self, address: str, request_id: str) -> None:
        """Do nothing, because closing the stream ends the generation."""

    async def read_state(self, address: str) -> EngineState:
        """Return the state that the engine reports."""
        return self._simulators[address].read_state()

    async def order(self, address: str, order: Order) -> OrderResponse:
        """Refuse every order."""
        return OrderResponse(accepted=False)


class LocalScorer(ServiceClient):
    """Client of a scorer that responds at once."""

    async def call(
        self, address: str, request: ServiceRequest
    ) -> ServiceResponse:
        """Return the same score for every sample."""
        return ServiceResponse(200, b'{"score": 1}', 'application/json')
