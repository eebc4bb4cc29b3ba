"""Messages of model engines."""

from enum import StrEnum

import msgspec


class GenerateRequest(msgspec.Struct, frozen=True):
    """
    One generation.

    Attributes
    ----------
    request_id : str
        Identifies this dispatch; echoed in every chunk.
    model : str
        Model to run.
    prompt : str
        The prompt.
    max_tokens : int
        Largest number of tokens of the whole generation, with `prefix`.
    seed : int
        Seed of the sampling.
    priority : int
        Lower values run first.
    prefix : str
        Text that an earlier engine produced; generation goes on after it.
    prefix_tokens : int
        Number of tokens in `prefix`.

    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    seed: int = 0
    priority: int = 0
    prefix: str = ''
    prefix_tokens: int = 0


class Chunk(msgspec.Struct, frozen=True):
    """
    One line of a generation's stream.

    Attributes
    ----------
    request_id : str
        The request's id.
    text : str
        Text of the chunk.
    tokens : int
        Number of tokens of the chunk.
    version : int
        Weight version that produced them.
    end : bool
        Whether this is the explicit end marker, which carries no tokens.
    total_tokens : int
        In the end marker, tokens of the whole generation with its prefix.

    """

    request_id: str
    text: str = ''
    tokens: int = 0
    version: int = 0
    end: bool = False
    total_tokens: int = 0


class Role(StrEnum):
    """What an engine does."""

    serving = 'serving'
    off = 'off'


class OrderKind(StrEnum):
    """Kinds of orders to engines."""

    load_version = 'load-version'
    set_role = 'set-role'


class Order(msgspec.Struct, frozen=True):
    """
    A declarative order: the state that the engine shall reach.

    Attributes
    ----------
    kind : OrderKind
        What to set.
    fencing_token : int
        Epoch of the lease under which the order is given.
    model : str
        Model of a version.
    version : int
        Wanted weight version.
    role : Role
        Wanted role.

    """

    kind: OrderKind
    fencing_token: int
    model: str = ''
    version: int = 0
    role: Role = Role.serving


class OrderResponse(msgspec.Struct, frozen=True):
    """
    An engine's answer to an order.

    Attributes
    ----------
    accepted : bool
        Whether the engine will act on the order.
    reason : str
        Why it will not.

    """

    accepted: bool
    reason: str = ''


class EngineState(msgspec.Struct, frozen=True):
    """
    An engine's own word on its state.

    Attributes
    ----------
    version : int
        Version that serves new requests.
    role : Role
        Current role.
    leaving : bool
        Whether the engine takes no new requests.
    running, queued : int
        Requests in the batch and waiting.
    batch_limit : int
        Largest batch.
    swapping : bool
        Whether a version is being loaded.
    fencing_token : int
        Highest fencing token seen.

    """

    version: int
    role: Role = Role.serving
    leaving: bool = False
    running: int = 0
    queued: int = 0
    batch_limit: int = 1
    swapping: bool = False
    fencing_token: int = 0
