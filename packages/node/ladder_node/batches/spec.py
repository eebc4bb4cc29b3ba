"""Specification of a batch as a trainer submits it."""

import msgspec


class ScorerSpec(msgspec.Struct, frozen=True, array_like=True):
    """
    The call that scores a text.

    Attributes
    ----------
    call_id : str
        Identifies the call; sent as the request id.
    host, target : str
        Select the route; the target is the path of the request.
    body : bytes
        Body of the request to the scorer.

    """

    call_id: str
    host: str
    target: str
    body: bytes


class TaskSpec(msgspec.Struct, frozen=True, array_like=True):
    """
    One task of a batch: the generation of a text and its scoring.

    Attributes
    ----------
    task_id : str
        Identifies the task. A group that was not finished may be submitted
        again in a later batch under the same ids.
    group : str
        Identifies the group, the tasks that share a prompt.
    target : str
        Path of the request to the engine.
    headers : tuple of (str, str)
        Header fields of the request to the engine.
    body : bytes
        Body of the request to the engine.
    model : str
        Name of the model that generates the text.
    prompt_tokens : int
        Number of tokens in the prompt.
    max_tokens : int
        Largest number of generated tokens; zero if none is given.
    expected_tokens : int
        The trainer's estimate of the generated tokens; zero for none.
    scorer : ScorerSpec or None
        The call that scores the text; None for no scoring.

    """

    task_id: str
    group: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    model: str = ''
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    scorer: ScorerSpec | None = None


class BatchSpec(msgspec.Struct, frozen=True, array_like=True):
    """
    A batch as it was accepted.

    Attributes
    ----------
    batch_id : str
        Identifies the batch.
    host, prefix : str
        Host and path prefix of the route that the batch was submitted to.
    step : int
        Number of the trainer's step that the batch belongs to.
    model : str
        Name of the trainer's model.
    min_version : int
        Oldest weight version that may generate texts of the batch.
    target_groups : int
        Number of complete groups that the trainer waits for.
    tasks : tuple of TaskSpec
        The tasks; groups that an earlier batch contained are listed first.
    organisation : str
        Name of the organisation that submitted it; empty for none.

    """

    batch_id: str
    host: str
    prefix: str
    step: int
    model: str
    min_version: int
    target_groups: int
    tasks: tuple[TaskSpec, ...]
    organisation: str = ''
