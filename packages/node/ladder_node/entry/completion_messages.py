"""Bodies of completion requests and responses."""

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
        Name of the model that completes the prompt.
    prompt : str
        Text to complete.
    max_tokens : int
        Largest number of tokens to generate.
    seed : int
        Seed with which the engine samples tokens.
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
    A generated text, or one chunk of it in a stream.

    Attributes
    ----------
    text : str
        Generated text of this response or chunk.
    index : int
        Index of the choice; always zero, as there is one choice.
    finish_reason : str or None
        ``stop`` in the last chunk and in a complete response.

    """

    text: str
    index: int = 0
    finish_reason: str | None = None


class Completion(msgspec.Struct, frozen=True):
    """
    A completion, or one chunk of it in a stream.

    Attributes
    ----------
    id : str
        Unique identifier, the same in all chunks of a stream.
    model : str
        Name of the model that generated the text.
    choices : tuple of Choice
        Exactly one choice.
    version : int
        Weight version that generated the last tokens.

    """

    id: str  # noqa: WPS125 the field's name on the wire
    model: str
    choices: tuple[Choice, ...]
    version: int = 0
