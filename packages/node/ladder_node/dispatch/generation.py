"""Run generations on engines and go on elsewhere when one fails."""

import uuid
from collections.abc import AsyncIterator
from dataclasses import dataclass

from loguru import logger

from ladder_clients.engines import Chunk, EngineClient, GenerateRequest
from ladder_core.errors import (
    LadderError,
    TargetLostError,
    TargetTimeoutError,
    TargetUnavailableError,
)
from ladder_core.timers import TimerService
from ladder_core.values import HostKind
from ladder_node.targets import Target, TargetTable
from ladder_policy.routing import Candidate, TargetChooser

_MAX_ATTEMPTS = 4
_RETRY_SECONDS = 1
_CONTINUABLE = (TargetLostError, TargetTimeoutError, TargetUnavailableError)


@dataclass(frozen=True, slots=True)
class Generation:
    """
    What a caller or a step wants generated.

    Attributes
    ----------
    model : str
        Model to run.
    pools : tuple of str
        Pools whose engines may be used.
    data_centres : tuple of str
        Data centres that may be used; empty for all.
    prompt : str
        The prompt.
    max_tokens : int
        Largest number of tokens.
    seed : int
        Seed of the sampling.
    priority : int
        Lower values run first.

    """

    model: str
    pools: tuple[str, ...]
    data_centres: tuple[str, ...]
    prompt: str
    max_tokens: int
    seed: int = 0
    priority: int = 0


class GenerationDispatcher:
    """
    Choose engines for generations.

    Parameters
    ----------
    targets : TargetTable
        What is known of the engines.
    engines : EngineClient
        Runs generations.
    chooser : TargetChooser
        Chooses among the engines.
    timers : TimerService
        Source of time.

    """

    def __init__(
        self,
        targets: TargetTable,
        engines: EngineClient,
        chooser: TargetChooser,
        timers: TimerService,
    ) -> None:
        self._targets = targets
        self._engines = engines
        self._chooser = chooser
        self._timers = timers

    async def generate(self, generation: Generation) -> AsyncIterator[Chunk]:
        """
        Run a generation and yield its chunks, the end marker last.

        Parameters
        ----------
        generation : Generation
            What to generate.

        Raises
        ------
        TargetUnavailableError
            No engine took the request; nothing was run.
        MayHaveRunError
            Engines failed on it one after another.

        """
        text, tokens = '', 0
        attempt = 0
        while True:
            attempt += 1
            target = self._choose(generation)
            request = _make_request(generation, text, tokens)
            try:
                async for chunk in self._run(target, request):
                    text += chunk.text
                    tokens += chunk.tokens
                    yield chunk
            except _CONTINUABLE as error:
                self._note_failure(target, error)
                if attempt == _MAX_ATTEMPTS:
                    raise
                continue
            return

    async def _run(
        self,
        target: Target,
        request: GenerateRequest,
    ) -> AsyncIterator[Chunk]:
        address = target.entry.address
        with self._targets.count_request(target):
            async for chunk in self._engines.generate(address, request):
                yield chunk

    def _choose(self, generation: Generation) -> Target:
        usable = {
            target.entry.name: target
            for target in self._targets.list_available(HostKind.engine)
            if _is_usable(target, generation)
        }
        if not usable:
            raise TargetUnavailableError(
                f'no engine of model {generation.model} is available',
                remedy='come back later',
                retry_after=_RETRY_SECONDS,
            )
        candidates = [_make_candidate(target) for target in usable.values()]
        chosen = self._chooser.choose(generation.prompt, candidates)
        return usable[chosen.name]

    def _note_failure(self, target: Target, error: LadderError) -> None:
        logger.warning('engine {} failed: {}', target.entry.name, error)
        self._targets.suspend(target.entry.name, error.kind)


def _is_usable(target: Target, generation: Generation) -> bool:
    entry = target.entry
    if entry.model != generation.model or entry.pool not in generation.pools:
        return False
    centres = generation.data_centres
    return not centres or entry.data_centre in centres


def _make_candidate(target: Target) -> Candidate:
    state = target.state
    if state is None:
        return Candidate(target.entry.name, sent=target.sent)
    return Candidate(
        target.entry.name,
        reported_load=state.running + state.queued,
        sent=target.sent,
        batch_limit=state.batch_limit,
        version=state.version,
    )


def _make_request(
    generation: Generation,
    text: str,
    tokens: int,
) -> GenerateRequest:
    return GenerateRequest(
        request_id=uuid.uuid4().hex,
        model=generation.model,
        prompt=generation.prompt,
        max_tokens=generation.max_tokens,
        seed=generation.seed,
        priority=generation.priority,
        prefix=text,
        prefix_tokens=tokens,
    )
