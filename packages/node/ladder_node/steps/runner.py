"""Run one step: generate, score and keep its groups until handed over."""

import asyncio
import contextlib

import xxhash
from loguru import logger

from ladder_clients.engines import Chunk
from ladder_core.errors import LadderError
from ladder_core.supervision import Service
from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService
from ladder_core.values import Allowance, Group, Sample, VersionSpan
from ladder_node.dispatch import (
    Generation,
    GenerationDispatcher,
    PlainDispatcher,
)
from ladder_node.steps.handover import Handover, HeldGroups, is_too_old
from ladder_node.steps.spec import StepSpec

_STEP_PRIORITY = 10
_RETRY_SECONDS = 0.5
_SEED_BITS = 31


class StepRunner(Service):
    """
    Produce the groups of one step.

    Parameters
    ----------
    spec : StepSpec
        What to produce.
    allowance : Allowance
        What the plan may use.
    generations : GenerationDispatcher
        Runs generations.
    services : PlainDispatcher
        Scores samples.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes what happens to the step.

    """

    def __init__(
        self,
        spec: StepSpec,
        allowance: Allowance,
        generations: GenerationDispatcher,
        services: PlainDispatcher,
        timers: TimerService,
        timeline: TimeLine,
    ) -> None:
        self._spec = spec
        self._allowance = allowance
        self._generations = generations
        self._services = services
        self._timers = timers
        self._timeline = timeline
        self._finished: dict[int, Group] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._attempts: dict[int, int] = {}
        self._progress = asyncio.Condition()

    @property
    def spec(self) -> StepSpec:
        """What the step is to produce."""
        return self._spec

    async def start(self) -> None:
        """Begin to generate all groups."""
        self._timeline.record('step-opened', self._spec.name)
        for index, _ in enumerate(self._spec.prompts):
            self._begin_group(index)

    async def close(self) -> None:
        """Cancel what still runs."""
        tasks = tuple(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._timeline.record('step-closed', self._spec.name)

    async def pull(
        self,
        version: int,
        bound: int,
        held: HeldGroups,
        wait_seconds: float,
    ) -> Handover:
        """
        Hand over the finished groups that the trainer lacks.

        Parameters
        ----------
        version : int
            Version that the trainer is at now.
        bound : int
            Largest staleness in versions.
        held : HeldGroups
            Groups that the trainer holds.
        wait_seconds : float
            Seconds to wait for a group if none is finished.

        Returns
        -------
        Handover
            Groups within the bound; those beyond it are generated again.

        """
        deadline = self._timers.now() + wait_seconds
        handover = self._collect(version, bound, held)
        while not handover.groups and handover.remaining:
            left = deadline - self._timers.now()
            if left <= 0:
                break
            await self._wait_progress(left)
            handover = self._collect(version, bound, held)
        return handover

    def _collect(
        self,
        version: int,
        bound: int,
        held: HeldGroups,
    ) -> Handover:
        lacking = [
            index
            for index in range(len(self._spec.prompts))
            if not held.has(index)
        ]
        self._drop_stale(lacking, version, bound)
        groups = tuple(
            self._finished[index]
            for index in lacking
            if index in self._finished
        )
        return Handover(groups, len(lacking) - len(groups))

    def _drop_stale(self, lacking: list[int], version: int, bound: int) -> None:
        for index in lacking:
            group = self._finished.get(index)
            if group is not None and is_too_old(group, version, bound):
                self._finished.pop(index)
                self._timeline.record(
                    'group-too-old',
                    f'{self._spec.name}/{index}',
                    oldest=group.oldest_version,
                    trainer=version,
                )
                self._begin_group(index)

    async def _wait_progress(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), self._progress:
                await self._progress.wait()

    def _begin_group(self, index: int) -> None:
        self._attempts[index] = self._attempts.get(index, 0) + 1
        task = asyncio.create_task(self._run_group(index))
        self._tasks[index] = task

    async def _run_group(self, index: int) -> None:
        samples = await asyncio.gather(
            *(
                self._run_sample(index, position)
                for position in range(self._spec.samples_per_group)
            ),
        )
        self._finished[index] = Group(index, tuple(samples))
        async with self._progress:
            self._progress.notify_all()

    async def _run_sample(self, group: int, index: int) -> Sample:
        while True:
            try:
                return await self._try_sample(group, index)
            except LadderError as error:
                logger.warning(
                    'sample {} failed: {}',
                    self._spec.identify(group, index),
                    error,
                )
            await self._timers.sleep(_RETRY_SECONDS)

    async def _try_sample(self, group: int, index: int) -> Sample:
        prompt = self._spec.prompts[group]
        text = ''
        spans: list[VersionSpan] = []
        generation = self._make_generation(group, index)
        async for chunk in self._generations.generate(generation):
            text += chunk.text
            _extend_spans(spans, chunk)
        score = await self._services.score('', prompt, text)
        return Sample(index, text, tuple(spans), score)

    def _make_generation(self, group: int, index: int) -> Generation:
        identity = f'{self._spec.identify(group, index)}'
        digest = xxhash.xxh3_64_intdigest(identity.encode())
        return Generation(
            model=self._spec.model,
            pools=self._allowance.pools,
            data_centres=self._allowance.data_centres,
            prompt=self._spec.prompts[group],
            max_tokens=self._spec.max_tokens,
            seed=digest % (1 << _SEED_BITS) + self._attempts[group] - 1,
            priority=_STEP_PRIORITY,
        )


def _extend_spans(spans: list[VersionSpan], chunk: Chunk) -> None:
    if not chunk.tokens:
        return
    if spans and spans[-1].version == chunk.version:
        tokens = spans.pop().tokens + chunk.tokens
        spans.append(VersionSpan(chunk.version, tokens))
    else:
        spans.append(VersionSpan(chunk.version, chunk.tokens))
