"""Messages of completions."""

import msgspec
from pydantic import Field

from ladder_node.entry.requests import RequestBody

_MAX_TOKENS = 65_536
_DEFAULT_TOKENS = 256


class CompletionRequest(RequestBody):
    """
    The body of a completion request.

    Attributes
    ----------
    model : str
        Model to run.
    prompt : str
        The prompt.
    max_tokens : int
        Largest number of tokens.
    seed : int
        Seed of the sampling.
    stream : bool
        Whether to answer with server-sent events.

    """

    model: str
    prompt: str
    max_tokens: int = Field(default=_DEFAULT_TOKENS, ge=1, le=_MAX_TOKENS)
    seed: int = 0
    stream: bool = False


class Choice(msgspec.Struct, frozen=True):
    """
    A generated text or a part of it.

    Attributes
    ----------
    text : str
        The text.
    index : int
        Always zero.
    finish_reason : str or None
        ``stop`` in the last part.

    """

    text: str
    index: int = 0
    finish_reason: str | None = None


class Completion(msgspec.Struct, frozen=True):
    """
    A completion or a part of it.

    Attributes
    ----------
    id : str
        Identifies the completion.
    model : str
        Model that ran.
    choices : tuple of Choice
        One choice.
    version : int
        Weight version of the last tokens.

    """

    id: str  # noqa: WPS125 the field's name on the wire
    model: str
    choices: tuple[Choice, ...]
    version: int = 0
