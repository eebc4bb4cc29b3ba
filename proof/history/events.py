"""Events of a history; all times are seconds on the host's monotonic clock."""

from dataclasses import dataclass, field
from enum import StrEnum


class Outcome(StrEnum):
    """How an attempt ended, as its caller saw it."""

    answered = 'answered'
    not_run = 'not-run'
    may_have_run = 'may-have-run'
    ran = 'ran'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class Attempt:
    """
    One request of a caller.

    Attributes
    ----------
    subject : str
        The operation; several attempts may share it.
    node : str
        The node asked.
    begin, end : float
        When it was sent and when its outcome was known.
    outcome : Outcome
        How it ended.
    text : str
        Text of a completion's answer.
    expected : str
        Text that the answer must have; empty if any will do.

    """

    subject: str
    node: str
    begin: float
    end: float
    outcome: Outcome
    text: str = ''
    expected: str = ''


@dataclass(frozen=True, slots=True)
class Execution:
    """
    One execution at a target, by the target's own word.

    Attributes
    ----------
    subject : str
        The operation executed.
    target : str
        Name of the target.
    at : float
        When it began.

    """

    subject: str
    target: str
    at: float


@dataclass(frozen=True, slots=True)
class GeneratedTokens:
    """
    Tokens that an engine truly generated.

    Attributes
    ----------
    prompt : str
        The prompt.
    seed : int
        Seed of the sampling.
    position : int
        Index of the first token.
    tokens : int
        Number of tokens.
    version : int
        Weight version that was truly served.

    """

    prompt: str
    seed: int
    position: int
    tokens: int
    version: int


@dataclass(frozen=True, slots=True)
class Span:
    """Tokens of one claimed version."""

    version: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Delivery:
    """
    A sample that reached its trainer.

    Attributes
    ----------
    sample_id : str
        Identity of the sample.
    step : str
        Name of the step.
    prompt, text : str
        The sample.
    spans : tuple of Span
        Versions that it names.
    trainer_version : int
        Version that the trainer stated in the pull.
    staleness_bound : int
        Staleness bound of the plan.

    """

    sample_id: str
    step: str
    prompt: str
    text: str
    spans: tuple[Span, ...]
    trainer_version: int
    staleness_bound: int


@dataclass(frozen=True, slots=True)
class StepEnd:
    """
    The end of a step at its trainer.

    Attributes
    ----------
    step : str
        Name of the step.
    requested_samples : int
        Samples asked for.

    """

    step: str
    requested_samples: int


@dataclass(frozen=True, slots=True)
class ObservedRevision:
    """
    A configuration revision that a node showed.

    Attributes
    ----------
    node : str
        Name of the node.
    at : float
        When it was read.
    revision : int
        The revision.

    """

    node: str
    at: float
    revision: int


@dataclass(frozen=True, slots=True)
class LeavingTarget:
    """
    A target that was said to leave.

    Attributes
    ----------
    target : str
        Name of the target.
    at : float
        When the host list first showed it.

    """

    target: str
    at: float


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """
    A graceful shutdown of a node.

    Attributes
    ----------
    node : str
        Name of the node.
    begin, end : float
        From the signal to the end of the process.
    status : int
        Exit status.

    """

    node: str
    begin: float
    end: float
    status: int


@dataclass(slots=True)
class History:
    """Everything that one run recorded."""

    attempts: list[Attempt] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    generated_tokens: list[GeneratedTokens] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    step_ends: list[StepEnd] = field(default_factory=list)
    observed_revisions: list[ObservedRevision] = field(default_factory=list)
    accepted_edits: list[ObservedRevision] = field(default_factory=list)
    leaving_targets: list[LeavingTarget] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Violation:
    """
    A promise that a history breaks.

    Attributes
    ----------
    promise : str
        Name of the promise.
    detail : str
        What broke it.

    """

    promise: str
    detail: str
