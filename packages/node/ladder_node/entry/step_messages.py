"""Bodies of step requests and responses."""

import msgspec
from pydantic import Field

from ladder_core.values import VersionSpan
from ladder_node.entry.problems import Problem
from ladder_node.entry.requests import RequestBody

_MAX_WAIT_SECONDS = 30
_MAX_TOKENS = 65_536
_MAX_VERSION = 1_000_000_000
_MAX_HELD_CHARACTERS = 16_384


class OpenStepRequest(RequestBody):
    """
    The body that opens a step.

    Attributes
    ----------
    model : str
        Name of the model that generates the samples.
    prompts : list of str
        One prompt for each group.
    samples_per_group : int
        Number of samples to generate for each prompt.
    max_tokens : int
        Largest number of tokens of a sample.

    """

    model: str
    prompts: list[str] = Field(min_length=1)
    samples_per_group: int = Field(ge=1)
    max_tokens: int = Field(ge=1, le=_MAX_TOKENS)


class PullRequest(RequestBody):
    """
    The body of a pull.

    Attributes
    ----------
    version : int
        Weight version that the trainer has reached.
    held : str
        Hexadecimal bit mask of the groups that the trainer holds.
    wait_seconds : float
        Seconds to wait for a group if none is finished; zero answers at once.

    """

    version: int = Field(ge=0, le=_MAX_VERSION)
    held: str = Field(default='', max_length=_MAX_HELD_CHARACTERS)
    wait_seconds: float = Field(default=5, ge=0, le=_MAX_WAIT_SECONDS)


class StepStatus(msgspec.Struct, frozen=True):
    """
    The response to opening or closing a step.

    Attributes
    ----------
    step : str
        Trainer and number of the step, joined by a slash.
    digest : str
        Digest of the contents of the step; empty once it is closed.
    groups : int
        Number of groups in the step; zero once it is closed.

    """

    step: str
    digest: str
    groups: int


class SampleBody(msgspec.Struct, frozen=True):
    """
    One sample on the wire.

    Attributes
    ----------
    id : str
        Deterministic identity: trainer, step, group and index.
    text : str
        Text that the engines generated.
    score : float
        Score that a scorer gave the text.
    versions : tuple of VersionSpan
        Weight versions that produced the text, in order.

    """

    id: str  # noqa: WPS125 the field's name on the wire
    text: str
    score: float
    versions: tuple[VersionSpan, ...]


class GroupBody(msgspec.Struct, frozen=True):
    """
    One group on the wire.

    Attributes
    ----------
    index : int
        Index of the group within the step.
    samples : tuple of SampleBody
        All samples of the group.

    """

    index: int
    samples: tuple[SampleBody, ...]


class GroupFailureBody(msgspec.Struct, frozen=True):
    """
    A group that is given up and will not be produced.

    Attributes
    ----------
    index : int
        Index of the group within the step.
    problem : Problem
        Cause of the failure, with a remedy.

    """

    index: int
    problem: Problem


class PullResponse(msgspec.Struct, frozen=True):
    """
    The response to a pull.

    Attributes
    ----------
    groups : tuple of GroupBody
        Finished groups that the trainer did not hold.
    remaining : int
        Number of groups that are still being produced.
    failures : tuple of GroupFailureBody
        Groups that are given up and will not be produced.

    """

    groups: tuple[GroupBody, ...]
    remaining: int
    failures: tuple[GroupFailureBody, ...] = ()
