"""What a trainer asked for in a step."""

from dataclasses import dataclass

import msgspec
import xxhash

from ladder_core.values import SampleId


@dataclass(frozen=True, slots=True)
class StepSpec:
    """
    One step as its trainer opened it.

    Attributes
    ----------
    plan : str
        Plan that entitles the trainer.
    trainer : str
        Name of the trainer.
    step : int
        Number of the step.
    model : str
        Model that generates the samples.
    prompts : tuple of str
        One prompt for each group.
    samples_per_group : int
        Samples generated for each prompt.
    max_tokens : int
        Largest number of tokens of a sample.

    """

    plan: str
    trainer: str
    step: int
    model: str
    prompts: tuple[str, ...]
    samples_per_group: int
    max_tokens: int

    @property
    def name(self) -> str:
        """The step's name: trainer and number."""
        return f'{self.trainer}/{self.step}'

    @property
    def digest(self) -> str:
        """A digest that differs between steps of different contents."""
        return xxhash.xxh3_128_hexdigest(msgspec.json.encode(self))

    def identify(self, group: int, index: int) -> SampleId:
        """Return the identity of one sample."""
        return SampleId(self.trainer, self.step, group, index)
