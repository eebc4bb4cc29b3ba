"""Produce one sample: generate its text, then score it."""

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
    A sample whose text is not finished or not scored.

    Attributes
    ----------
    key : SampleKey
        Group and index of the sample within its step.
    attempt : int
        Number of earlier generations that were too old; added to the seed,
        so that each generation has its own.
    text : str
        Text received so far.
    spans : list of VersionSpan
        Weight versions that produced the text, in order.
    is_generated : bool
        Whether the engine's end marker was received.
    is_resumed : bool
        Whether the text was received by another run and is continued here.
    missing_in_group : int
        Number of samples that the group still lacks.
    tried_engines, excluded_engines : list of str
        Engines that ran this sample, and engines that must not run it.

    """

    key: SampleKey
    attempt: int
    text: str = ''
    spans: list[VersionSpan] = field(default_factory=list)
    is_generated: bool = False
    is_resumed: bool = False
    missing_in_group: int = 0
    tried_engines: list[str] = field(default_factory=list)
    excluded_engines: list[str] = field(default_factory=list)

    @property
    def tokens(self) -> int:
        """Number of tokens received so far."""
        return sum(span.tokens for span in self.spans)

    def add(self, chunk: Chunk) -> None:
        """Append a chunk of the engine's stream."""
        self.text += chunk.text
        if not chunk.tokens:
            return
        tokens = chunk.tokens
        if self.spans and self.spans[-1].version == chunk.version:
            tokens += self.spans.pop().tokens
        self.spans.append(VersionSpan(chunk.version, tokens))

    def resume(self) -> 'PartialSample':
        """Return a copy that continues this text on another engine."""
        return PartialSample(
            self.key,
            self.attempt,
            self.text,
            list(self.spans),
            is_resumed=True,
            missing_in_group=self.missing_in_group,
            excluded_engines=[*self.excluded_engines, *self.tried_engines],
        )

    def clear(self) -> None:
        """Discard the text received so far."""
        self.text = ''
        self.spans.clear()
        self.is_generated = False


class SampleProducer:
    """
    Generate and score the samples of one step.

    Parameters
    ----------
    spec : StepSpec
        Prompts, sizes and model of the step.
    allowance : Allowance
        Pools and data centres that the plan may use.
    generations : GenerationDispatcher
        Sends generations to engines.
    services : ServiceDispatcher
        Sends finished texts to scorers.
    policy : StragglerPolicy
        Adjusts the engine priority of samples of almost complete groups.

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
        Finish a partial sample; a complete text is only scored.

        Parameters
        ----------
        partial : PartialSample
            Sample to finish; the engine's chunks are appended to it.
        guard : StalenessGuard
            Staleness bound; a generation that exceeds it is ended.

        Returns
        -------
        Sample
            The generated and scored sample.

        Raises
        ------
        StaleSampleError
            A span is older than the staleness bound allows.
        UnusableSampleError
            The stream was empty or truncated.
        LadderError
            No engine or scorer could run the request.

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
        # Closing the stream cancels an abandoned generation at its engine.
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
            excluded_engines=tuple(partial.excluded_engines),
            tried_engines=partial.tried_engines,
            min_version=min_version,
            is_owed=True,
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
