"""Events of a history, with times in seconds of the host's monotonic clock."""

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
    A request that a caller sent once.

    Attributes
    ----------
    subject : str
        Name of the operation; the attempts of one operation share it.
    node : str
        Name of the node that the request was sent to.
    begin, end : float
        Times at which the request was sent and its outcome was known.
    outcome : Outcome
        How the attempt ended.
    text : str
        Text that a completion returned.
    expected : str
        Text that the response must have; empty if it is not checked.

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
    An execution of an operation, as recorded by its target.

    Attributes
    ----------
    subject : str
        Name of the operation.
    target : str
        Name of the target that executed it.
    at : float
        Time at which the execution began.

    """

    subject: str
    target: str
    at: float


@dataclass(frozen=True, slots=True)
class GeneratedTokens:
    """
    Tokens that an engine generated, as recorded by the engine.

    Attributes
    ----------
    prompt : str
        Prompt of the request.
    seed : int
        Seed that the tokens were sampled with.
    position : int
        Index of the first token in the generated text.
    tokens : int
        Number of tokens that were generated at once.
    version : int
        Weight version that the engine served at that time.

    """

    prompt: str
    seed: int
    position: int
    tokens: int
    version: int


@dataclass(frozen=True, slots=True)
class Span:
    """Consecutive tokens that a sample assigns to one weight version."""

    version: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Delivery:
    """
    A sample that was delivered to its trainer.

    Attributes
    ----------
    sample_id : str
        Unique id of the sample.
    step : str
        Name of the step that the sample belongs to.
    prompt, text : str
        Prompt and generated text of the sample.
    spans : tuple of Span
        Weight versions that the sample states for its tokens.
    trainer_version : int
        Weight version that the trainer stated in its pull.
    staleness_bound : int
        Staleness bound of the plan, in versions.

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
    The end of a step, as its trainer saw it.

    Attributes
    ----------
    step : str
        Name of the step.
    requested_samples : int
        Number of samples that the trainer requested.

    """

    step: str
    requested_samples: int


@dataclass(frozen=True, slots=True)
class ObservedRevision:
    """
    A configuration revision that a node reported or an edit created.

    Attributes
    ----------
    node : str
        Name of the node; empty for an accepted edit.
    at : float
        Time of the report or of the acceptance.
    revision : int
        Number of the revision.

    """

    node: str
    at: float
    revision: int


@dataclass(frozen=True, slots=True)
class LeavingTarget:
    """
    A target that the host list marks as leaving.

    Attributes
    ----------
    target : str
        Name of the target.
    at : float
        Time at which the host list first marked it.

    """

    target: str
    at: float


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """
    A graceful shutdown of a node at a planned time.

    Attributes
    ----------
    node : str
        Name of the node.
    begin, end : float
        Times of the signal and of the end of the process.
    status : int
        Exit status of the process.

    """

    node: str
    begin: float
    end: float
    status: int


@dataclass(slots=True)
class History:
    """All events that were recorded in one run."""

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
    A violation of a promise in a history.

    Attributes
    ----------
    promise : str
        Name of the promise.
    detail : str
        Sentence that says which event breaks the promise.

    """

    promise: str
    detail: str
