"""Contents of a step as its trainer opened it."""

from dataclasses import dataclass

import msgspec
import xxhash

from ladder_core.values import SampleId


@dataclass(frozen=True, slots=True)
class StepSpec:
    """
    Prompts and sizes of one step.

    Attributes
    ----------
    plan : str
        Plan under which the trainer opened the step.
    trainer : str
        Trainer that owns the step.
    step : int
        Number of the step within its trainer.
    model : str
        Model whose engines generate the samples.
    prompts : tuple of str
        One prompt for each group.
    samples_per_group : int
        Number of samples generated for each prompt.
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
        """Name of the step: trainer and number, joined by a slash."""
        return f'{self.trainer}/{self.step}'

    @property
    def digest(self) -> str:
        """Digest of the contents, to tell different steps apart."""
        return xxhash.xxh3_128_hexdigest(msgspec.json.encode(self))

    def identify(self, group: int, index: int) -> SampleId:
        """Return the deterministic identity of one sample."""
        return SampleId(self.trainer, self.step, group, index)
