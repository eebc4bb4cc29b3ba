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
from ladder_node.steps.pool import SamplePlace
from ladder_node.steps.spec import StepSpec
from ladder_node.steps.staleness import StalenessGuard
from ladder_policy.stragglers import StragglerPolicy

_STEP_PRIORITY = 10
_SEED_BITS = 31


@dataclass(slots=True)
class Draft:
    """
    A sample in the making.

    Attributes
    ----------
    place : SamplePlace
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

    place: SamplePlace
    attempt: int
    text: str = ''
    spans: list[VersionSpan] = field(default_factory=list)
    is_generated: bool = False
    is_resumed: bool = False
    missing: int = 0
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

    def resume(self) -> 'Draft':
        """Return a draft that goes on from here on another engine."""
        return Draft(
            self.place,
            self.attempt,
            self.text,
            list(self.spans),
            is_resumed=True,
            missing=self.missing,
            avoided=[*self.avoided, *self.visited],
        )

    def clear(self) -> None:
        """Drop what was received."""
        self.text = ''
        self.spans.clear()
        self.is_generated = False


class SampleMaker:
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

    async def make(self, draft: Draft, guard: StalenessGuard) -> Sample:
        """
        Finish a draft; a text that is complete is only scored.

        Parameters
        ----------
        draft : Draft
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
        if not draft.is_generated:
            if not draft.is_resumed:
                draft.clear()
            await self._generate(draft, guard)
        prompt = self._spec.prompts[draft.place.group]
        score = await self._services.score('', prompt, draft.text)
        _check_staleness(draft, guard)
        index = draft.place.index
        return Sample(index, draft.text, tuple(draft.spans), score)

    async def _generate(self, draft: Draft, guard: StalenessGuard) -> None:
        generation = self._make_generation(draft, guard.floor)
        stream = self._generations.generate(generation)
        # A generation that is given up must not go on at its engine.
        async with closing(stream) as chunks:
            async for chunk in chunks:
                _add_chunk(draft, chunk, guard)

    def _make_generation(self, draft: Draft, floor: int) -> Generation:
        place = draft.place
        identity = str(self._spec.identify(place.group, place.index))
        digest = xxhash.xxh3_64_intdigest(identity.encode())
        adjustment = self._policy.adjust_priority(
            draft.missing,
            self._spec.samples_per_group,
        )
        return Generation(
            model=self._spec.model,
            pools=self._allowance.pools,
            data_centres=self._allowance.data_centres,
            prompt=self._spec.prompts[place.group],
            max_tokens=self._spec.max_tokens,
            seed=digest % (1 << _SEED_BITS) + draft.attempt,
            priority=_STEP_PRIORITY + adjustment,
            prefix=draft.text,
            prefix_tokens=draft.tokens,
            excluded_engines=tuple(draft.avoided),
            tried_engines=draft.visited,
            min_version=floor,
        )


def _add_chunk(draft: Draft, chunk: Chunk, guard: StalenessGuard) -> None:
    draft.add(chunk)
    _check_staleness(draft, guard)
    if chunk.end:
        _check_whole(draft, chunk)
        draft.is_generated = True


def _check_staleness(draft: Draft, guard: StalenessGuard) -> None:
    if not guard.is_stale(draft.spans):
        return
    draft.clear()
    raise StaleSampleError(
        f'sample {draft.place} has tokens older than version {guard.floor}',
        remedy='generate it again on an engine with a newer version',
    )


def _check_whole(draft: Draft, end: Chunk) -> None:
    if draft.spans and end.total_tokens == draft.tokens:
        return
    message = f'{draft.tokens} of {end.total_tokens} tokens arrived'
    draft.clear()
    raise UnusableSampleError(
        f'sample {draft.place} is not whole: {message}',
        remedy='generate it again',
    )
