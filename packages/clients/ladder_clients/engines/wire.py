"""Messages of model engines."""

from enum import StrEnum

import msgspec


class GenerateRequest(msgspec.Struct, frozen=True):
    """
    A request for one generation.

    Attributes
    ----------
    request_id : str
        Identifies this attempt; the engine echoes it in every chunk.
    model : str
        Name of the model that generates.
    prompt : str
        Text that the generation continues.
    max_tokens : int
        Largest number of tokens of the whole generation, including `prefix`.
    seed : int
        Seed of the sampling.
    priority : int
        Requests with lower values run first.
    prefix : str
        Text that an earlier engine generated; the generation resumes after it.
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
        Id of the `GenerateRequest` to which the chunk belongs.
    text : str
        Text that the chunk adds.
    tokens : int
        Number of tokens in `text`.
    version : int
        Weight version that generated the tokens.
    end : bool
        Whether this is the explicit end marker, which carries no tokens.
    total_tokens : int
        In the end marker, the number of tokens of the whole generation,
        including its prefix.

    """

    request_id: str
    text: str = ''
    tokens: int = 0
    version: int = 0
    end: bool = False
    total_tokens: int = 0


class Role(StrEnum):
    """Role of an engine: whether it serves requests."""

    serving = 'serving'
    off = 'off'


class OrderKind(StrEnum):
    """Kinds of orders to engines."""

    load_version = 'load-version'
    set_role = 'set-role'


class Order(msgspec.Struct, frozen=True):
    """
    A declarative order: the state that an engine has to reach.

    Attributes
    ----------
    kind : OrderKind
        Whether the order sets the weight version or the role.
    fencing_token : int
        Epoch of the lease under which the order is given.
    model : str
        Model whose version is loaded; only for ``load-version``.
    version : int
        Weight version to load; only for ``load-version``.
    role : Role
        Role to take; only for ``set-role``.

    """

    kind: OrderKind
    fencing_token: int
    model: str = ''
    version: int = 0
    role: Role = Role.serving


class OrderResponse(msgspec.Struct, frozen=True):
    """
    Response of an engine to an order.

    Attributes
    ----------
    accepted : bool
        Whether the engine will execute the order.
    reason : str
        Reason of a refusal; empty if the order was accepted.

    """

    accepted: bool
    reason: str = ''


class EngineState(msgspec.Struct, frozen=True):
    """
    State of an engine, as it reports it.

    Attributes
    ----------
    version : int
        Weight version that serves new requests.
    role : Role
        Current role.
    leaving : bool
        Whether the engine is leaving service and accepts no new requests.
    running, queued : int
        Number of requests in the batch, and of those that are queued for it.
    batch_limit : int
        Largest number of requests in the batch.
    swapping : bool
        Whether the engine is loading a weight version.
    fencing_token : int
        Highest fencing token that the engine has received in an order.

    """

    version: int
    role: Role = Role.serving
    leaving: bool = False
    running: int = 0
    queued: int = 0
    batch_limit: int = 1
    swapping: bool = False
    fencing_token: int = 0
