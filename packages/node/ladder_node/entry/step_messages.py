"""Messages between trainers and a node."""

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
        Model that generates.
    prompts : list of str
        One prompt for each group.
    samples_per_group : int
        Samples of each prompt.
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
        Version that the trainer is at.
    held : str
        Hexadecimal number with a bit for each group that the trainer holds.
    wait_seconds : float
        Seconds to wait if nothing is finished.

    """

    version: int = Field(ge=0, le=_MAX_VERSION)
    held: str = Field(default='', max_length=_MAX_HELD_CHARACTERS)
    wait_seconds: float = Field(default=5, ge=0, le=_MAX_WAIT_SECONDS)


class StepStatus(msgspec.Struct, frozen=True):
    """
    The answer to opening a step.

    Attributes
    ----------
    step : str
        Name of the step.
    digest : str
        Digest of its contents.
    groups : int
        Number of groups.

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
        Generated text.
    score : float
        Its score.
    versions : tuple of VersionSpan
        Versions that produced it, in order.

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
        Index within the step.
    samples : tuple of SampleBody
        All samples of the group.

    """

    index: int
    samples: tuple[SampleBody, ...]


class GroupFailureBody(msgspec.Struct, frozen=True):
    """
    A group that will not come.

    Attributes
    ----------
    index : int
        Index within the step.
    problem : Problem
        Why, and what to do.

    """

    index: int
    problem: Problem


class PullResponse(msgspec.Struct, frozen=True):
    """
    The answer to a pull.

    Attributes
    ----------
    groups : tuple of GroupBody
        Groups that the trainer lacked.
    remaining : int
        Groups that are still to come.
    failures : tuple of GroupFailureBody
        Groups that the service has given up on.

    """

    groups: tuple[GroupBody, ...]
    remaining: int
    failures: tuple[GroupFailureBody, ...] = ()
