"""What a trainer asks for with one batch."""

import msgspec


class ScorerSpec(msgspec.Struct, frozen=True, array_like=True):
    """
    The call that scores a text.

    Attributes
    ----------
    call_id : str
        Identifies the call.
    host, target : str
        Select the route; the target is the path of the request.
    body : bytes
        The body.

    """

    call_id: str
    host: str
    target: str
    body: bytes


class TaskSpec(msgspec.Struct, frozen=True, array_like=True):
    """
    One task of a batch: a generation and the scoring of its text.

    Attributes
    ----------
    task_id : str
        Identifies the task; a group that was left unfinished may come again
        in a later batch under the same ids.
    group : str
        Tasks of one prompt.
    target : str
        Path of the request.
    headers : tuple of (str, str)
        Header fields of the request.
    body : bytes
        The body.
    model : str
        Model that generates.
    prompt_tokens : int
        Tokens of the prompt.
    max_tokens : int
        Largest number of generated tokens.
    expected_tokens : int
        The trainer's estimate of the generated tokens; zero for none.
    scorer : ScorerSpec or None
        The call that scores the text.

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
        Route under which it came.
    step : int
        Number of the trainer's step.
    model : str
        Model of the trainer.
    min_version : int
        Oldest weight version that may generate.
    target_groups : int
        Number of whole groups that the trainer waits for.
    tasks : tuple of TaskSpec
        The tasks; groups that came before stand first.

    """

    batch_id: str
    host: str
    prefix: str
    step: int
    model: str
    min_version: int
    target_groups: int
    tasks: tuple[TaskSpec, ...]
