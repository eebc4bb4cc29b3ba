"""Run generations on engines, and fail over to another when one fails."""

import uuid
from collections.abc import AsyncIterator, Iterator
from contextlib import AbstractAsyncContextManager, contextmanager
from dataclasses import dataclass
from functools import partial

from loguru import logger
from prometheus_client import Counter

from ladder_clients.engines import Chunk, EngineClient, GenerateRequest
from ladder_core.errors import (
    DeadlineError,
    LadderError,
    NotRunError,
    TargetLostError,
)
from ladder_core.supervision import Component
from ladder_core.timers import TimerService
from ladder_node.dispatch.crashes import RequestGuard, UnguardedRequests
from ladder_node.dispatch.engine_selector import EngineSelector, Generation
from ladder_node.dispatch.failures import ATTEMPT_ERRORS, AttemptFailures
from ladder_node.dispatch.retries import RetryPolicy, UnlimitedRetries
from ladder_node.dispatch.streams import CancellationSender, closing
from ladder_node.dispatch.suspect_registry import make_request_digest
from ladder_node.targets import Target, TargetTable
from ladder_policy.regions import AnyRegion, RegionPolicy
from ladder_policy.routing import TargetChooser

_MAX_ATTEMPTS = 4

_TEXT_CHARACTERS = Counter(
    'ladder_generation_text_characters',
    'Characters of prompts and texts exchanged with engines, by their region',
    ['region'],
)


@dataclass(slots=True)
class _Progress:
    """Text and tokens that all attempts of a generation have produced."""

    text: str = ''
    tokens: int = 0
    is_complete: bool = False

    def add(self, chunk: Chunk) -> None:
        """Append a received chunk."""
        self.is_complete = chunk.end
        self.text += chunk.text
        self.tokens += chunk.tokens


@dataclass(slots=True)
class _Dispatch:
    """A request in flight at an engine, open until its end marker arrives."""

    is_open: bool = True


class GenerationDispatcher(Component):
    """
    Dispatch generations to engines.

    Explanation
    -----------
    When an engine fails, the next attempt continues on another engine from the
    text that was received.

    Parameters
    ----------
    targets : TargetTable
        States of the engines, and the requests in flight at each.
    engines : EngineClient
        Client that runs generations on engines.
    chooser : TargetChooser
        Chooses one of the usable engines.
    timers : TimerService
        Clock on which deadlines are checked.
    guard : RequestGuard, optional
        Isolates callers' requests that crash engines; by default none are.
    retries : RetryPolicy, optional
        Decides whether a failed attempt is retried; by default always.
    regions : RegionPolicy, optional
        Narrows the usable engines by region; by default it keeps them all.

    """

    def __init__(
        self,
        targets: TargetTable,
        engines: EngineClient,
        chooser: TargetChooser,
        timers: TimerService,
        guard: RequestGuard | None = None,
        retries: RetryPolicy | None = None,
        regions: RegionPolicy | None = None,
    ) -> None:
        self._targets = targets
        self._engines = engines
        self._timers = timers
        self._unguarded = UnguardedRequests()
        self._guard = guard or self._unguarded
        self._retries = retries or UnlimitedRetries()
        self._selector = EngineSelector(
            targets,
            chooser,
            regions or AnyRegion(),
        )
        self._cancellations = CancellationSender(engines)

    async def start(self) -> None:
        """Do nothing; there is no state to prepare."""

    async def close(self) -> None:
        """Wait until the cancellations in progress were sent."""
        await self._cancellations.close()

    async def generate(self, generation: Generation) -> AsyncIterator[Chunk]:
        """
        Run a generation and yield its chunks, the end marker last.

        Parameters
        ----------
        generation : Generation
            Model, prompt and limits of the generation.

        Raises
        ------
        TargetUnavailableError
            No engine accepted the request; it was not run.
        MayHaveRunError
            Engines failed on the request one after another.

        """
        progress = _Progress(generation.prefix, generation.prefix_tokens)
        failures = AttemptFailures(_MAX_ATTEMPTS, is_repeatable=True)
        self._retries.record_request()
        while await self._may_attempt(failures):
            async with closing(
                self._attempt(generation, progress, failures),
            ) as chunks:
                async for chunk in chunks:
                    yield chunk
            if progress.is_complete:
                return
        raise failures.error

    async def _may_attempt(self, failures: AttemptFailures) -> bool:
        if not failures.has_failed:
            return True
        return not failures.is_final and await self._retries.take_retry()

    async def _attempt(
        self,
        generation: Generation,
        progress: _Progress,
        failures: AttemptFailures,
    ) -> AsyncIterator[Chunk]:
        """Run a generation on one engine, from where the last attempt ended."""
        await self._targets.ensure_fresh()
        has_begun = False
        try:
            async with (
                self._assign(generation) as target,
                closing(self._run(target, generation, progress)) as chunks,
            ):
                async for chunk in chunks:
                    has_begun = True
                    failures.reset_attempts()
                    self._check_deadline(generation)
                    yield chunk
        except ATTEMPT_ERRORS as error:
            failures.add(error)
            is_lost = isinstance(error, TargetLostError)
            if generation.is_owed and is_lost and not has_begun:
                # The step starts it again after a pause, so that work which
                # ends engines at its start does not end all of them.
                failures.stop()

    def _check_deadline(self, generation: Generation) -> None:
        if self._timers.now() > generation.deadline:
            raise DeadlineError(
                "the request's time limit has passed",
                remedy='allow more time or fewer tokens',
            )

    def _assign(
        self,
        generation: Generation,
    ) -> AbstractAsyncContextManager[Target]:
        guard = self._unguarded if generation.is_owed else self._guard
        return guard.assign(
            make_request_digest(generation.model, generation.prompt),
            partial(self._selector.choose, generation),
            partial(self._selector.list_usable, generation),
        )

    async def _run(
        self,
        target: Target,
        generation: Generation,
        progress: _Progress,
    ) -> AsyncIterator[Chunk]:
        address = target.entry.address
        request = _make_request(generation, progress)
        reported_version = 0 if target.state is None else target.state.version
        traffic = _TEXT_CHARACTERS.labels(target.entry.region)
        traffic.inc(len(request.prompt) + len(request.prefix))
        with self._track_dispatch(target, request) as dispatch:
            async with closing(
                self._engines.generate(address, request),
            ) as chunks:
                async for chunk in chunks:
                    progress.add(chunk)
                    traffic.inc(len(chunk.text))
                    dispatch.is_open = not chunk.end
                    self._check_version(target, chunk, reported_version)
                    yield chunk
            if dispatch.is_open:
                raise TargetLostError(
                    f'engine {address} ended the stream early',
                    remedy='go on elsewhere from what was received',
                )

    def _check_version(
        self,
        target: Target,
        chunk: Chunk,
        reported_version: int,
    ) -> None:
        if chunk.tokens:
            name = target.entry.name
            self._targets.check_served_version(
                name, chunk.version, reported_version
            )

    @contextmanager
    def _track_dispatch(
        self,
        target: Target,
        request: GenerateRequest,
    ) -> Iterator[_Dispatch]:
        """Count a request as in flight, and cancel it if it stays open."""
        dispatch = _Dispatch()
        try:
            with self._targets.track_request(target):
                yield dispatch
        except ATTEMPT_ERRORS as error:
            if isinstance(error, NotRunError):
                dispatch.is_open = False
            self._record_failure(target, error)
            raise
        finally:
            if dispatch.is_open:
                address = target.entry.address
                self._cancellations.send(address, request.request_id)

    def _record_failure(self, target: Target, error: LadderError) -> None:
        logger.warning('engine {} failed: {}', target.entry.name, error)
        self._targets.suspend(target.entry.name, error.kind)


def _make_request(
    generation: Generation,
    progress: _Progress,
) -> GenerateRequest:
    return GenerateRequest(
        request_id=uuid.uuid4().hex,
        model=generation.model,
        prompt=generation.prompt,
        max_tokens=generation.max_tokens,
        seed=generation.seed,
        priority=generation.priority,
        prefix=progress.text,
        prefix_tokens=progress.tokens,
    )
