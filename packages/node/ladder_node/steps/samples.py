"""Make one sample: generate, then score."""

from dataclasses import dataclass, field

import xxhash

from ladder_clients.engines import Chunk
from ladder_core.values import Allowance, Sample, VersionSpan
from ladder_node.dispatch import (
    Generation,
    GenerationDispatcher,
    ServiceDispatcher,
)
from ladder_node.dispatch.streams import closing
from ladder_node.steps.errors import StaleSampleError, UnusableSampleError
from ladder_node.steps.pool import SampleKey
from ladder_node.steps.spec import StepSpec
from ladder_node.steps.staleness import StalenessGuard
from ladder_policy.stragglers import StragglerPolicy

_STEP_PRIORITY = 10
_SEED_BITS = 31


@dataclass(slots=True)
class PartialSample:
    """
    A sample in the making.

    Attributes
    ----------
    key : SampleKey
        Where it belongs.
    attempt : int
        Counts the generations for the place; each has a seed of its own.
    text : str
        Text received so far.
    spans : list of VersionSpan
        Versions that produced it, in order.
    is_generated : bool
        Whether the engine's end marker was received.
    is_resumed : bool
        Whether the text so far is another run's, to be gone on from.
    missing : int
        Samples that the group lacks.
    visited, avoided : list of str
        Engines that ran this draft, and those that must not.

    """

    key: SampleKey
    attempt: int
    text: str = ''
    spans: list[VersionSpan] = field(default_factory=list)
    is_generated: bool = False
    is_resumed: bool = False
    missing_in_group: int = 0
    visited: list[str] = field(default_factory=list)
    avoided: list[str] = field(default_factory=list)

    @property
    def tokens(self) -> int:
        """Number of tokens received so far."""
        return sum(span.tokens for span in self.spans)

    def add(self, chunk: Chunk) -> None:
        """Take a chunk of the engine's stream."""
        self.text += chunk.text
        if not chunk.tokens:
            return
        tokens = chunk.tokens
        if self.spans and self.spans[-1].version == chunk.version:
            tokens += self.spans.pop().tokens
        self.spans.append(VersionSpan(chunk.version, tokens))

    def resume(self) -> 'PartialSample':
        """Return a draft that goes on from here on another engine."""
        return PartialSample(
            self.key,
            self.attempt,
            self.text,
            list(self.spans),
            is_resumed=True,
            missing_in_group=self.missing_in_group,
            avoided=[*self.avoided, *self.visited],
        )

    def clear(self) -> None:
        """Drop what was received."""
        self.text = ''
        self.spans.clear()
        self.is_generated = False


class SampleProducer:
    """
    Generate and score the samples of one step.

    Parameters
    ----------
    spec : StepSpec
        The step.
    allowance : Allowance
        What the plan may use.
    generations : GenerationDispatcher
        Runs generations.
    services : ServiceDispatcher
        Scores samples.
    policy : StragglerPolicy
        Adjusts priorities.

    """

    def __init__(
        self,
        spec: StepSpec,
        allowance: Allowance,
        generations: GenerationDispatcher,
        services: ServiceDispatcher,
        policy: StragglerPolicy,
    ) -> None:
        self._policy = policy
        self._spec = spec
        self._allowance = allowance
        self._generations = generations
        self._services = services

    async def produce(
        self, partial: PartialSample, guard: StalenessGuard
    ) -> Sample:
        """
        Finish a draft; a text that is complete is only scored.

        Parameters
        ----------
        partial : PartialSample
            Takes what the engine sends.
        guard : StalenessGuard
            Ends a generation that can't be handed over any more.

        Returns
        -------
        Sample
            The sample.

        Raises
        ------
        StaleSampleError
            A span is too old.
        UnusableSampleError
            The stream was empty or not whole.
        LadderError
            Targets failed.

        """
        if not partial.is_generated:
            if not partial.is_resumed:
                partial.clear()
            await self._generate(partial, guard)
        prompt = self._spec.prompts[partial.key.group]
        score = await self._services.score('', prompt, partial.text)
        _check_staleness(partial, guard)
        index = partial.key.index
        return Sample(index, partial.text, tuple(partial.spans), score)

    async def _generate(
        self, partial: PartialSample, guard: StalenessGuard
    ) -> None:
        generation = self._make_generation(partial, guard.min_version)
        stream = self._generations.generate(generation)
        # A generation that is given up must not go on at its engine.
        async with closing(stream) as chunks:
            async for chunk in chunks:
                _add_chunk(partial, chunk, guard)

    def _make_generation(
        self, partial: PartialSample, min_version: int
    ) -> Generation:
        key = partial.key
        identity = str(self._spec.identify(key.group, key.index))
        digest = xxhash.xxh3_64_intdigest(identity.encode())
        adjustment = self._policy.adjust_priority(
            partial.missing_in_group,
            self._spec.samples_per_group,
        )
        return Generation(
            model=self._spec.model,
            pools=self._allowance.pools,
            data_centres=self._allowance.data_centres,
            prompt=self._spec.prompts[key.group],
            max_tokens=self._spec.max_tokens,
            seed=digest % (1 << _SEED_BITS) + partial.attempt,
            priority=_STEP_PRIORITY + adjustment,
            prefix=partial.text,
            prefix_tokens=partial.tokens,
            excluded_engines=tuple(partial.avoided),
            tried_engines=partial.visited,
            min_version=min_version,
        )


def _add_chunk(
    partial: PartialSample, chunk: Chunk, guard: StalenessGuard
) -> None:
    partial.add(chunk)
    _check_staleness(partial, guard)
    if chunk.end:
        _check_complete(partial, chunk)
        partial.is_generated = True


def _check_staleness(partial: PartialSample, guard: StalenessGuard) -> None:
    if not guard.is_stale(partial.spans):
        return
    partial.clear()
    raise StaleSampleError(
        f'sample {partial.key} has tokens older than version '
        f'{guard.min_version}',
        remedy='generate it again on an engine with a newer version',
    )


def _check_complete(partial: PartialSample, end: Chunk) -> None:
    if partial.spans and end.total_tokens == partial.tokens:
        return
    message = f'{partial.tokens} of {end.total_tokens} tokens arrived'
    partial.clear()
    raise UnusableSampleError(
        f'sample {partial.key} is not whole: {message}',
        remedy='generate it again',
    )
