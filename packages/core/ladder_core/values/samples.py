"""Samples, their groups, and the weight versions that generated them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """
    Consecutive tokens of a sample that one weight version generated.

    Attributes
    ----------
    version : int
        Weight version as reported in the stream of the engine.
    tokens : int
        Number of consecutive tokens.

    """

    version: int
    tokens: int


@dataclass(frozen=True, slots=True, order=True)
class SampleId:
    """
    Deterministic identifier of a sample.

    Attributes
    ----------
    trainer : str
        Name of the trainer that opened the step.
    step : int
        Number of the step within the trainer.
    group : int
        Index of the group within the step.
    index : int
        Index of the sample within the group.

    Examples
    --------
    >>> str(SampleId('notes', 3, 0, 1))
    'notes/3/0/1'

    """

    trainer: str
    step: int
    group: int
    index: int

    def __str__(self) -> str:
        """Return the parts of the identifier, separated by slashes."""
        return f'{self.trainer}/{self.step}/{self.group}/{self.index}'


@dataclass(frozen=True, slots=True)
class Sample:
    """
    Finished sample with its score.

    Attributes
    ----------
    index : int
        Index of the sample within its group.
    text : str
        Text that the engines generated.
    spans : tuple of VersionSpan
        Weight versions in the order in which they generated the tokens.
    score : float
        Score given by the scoring service.

    """

    index: int
    text: str
    spans: tuple[VersionSpan, ...]
    score: float

    @property
    def oldest_version(self) -> int:
        """The lowest weight version that generated a token of the sample."""
        return min(span.version for span in self.spans)


@dataclass(frozen=True, slots=True)
class Group:
    """
    All samples that were generated for one prompt of a step.

    Attributes
    ----------
    index : int
        Index of the group within the step.
    samples : tuple of Sample
        Samples in order of their index.

    """

    index: int
    samples: tuple[Sample, ...]

    @property
    def oldest_version(self) -> int:
        """The lowest weight version that generated a token of the group."""
        return min(sample.oldest_version for sample in self.samples)
