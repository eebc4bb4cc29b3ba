"""Settings of an engine stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """
    What an engine is and how fast it runs.

    Attributes
    ----------
    name : str
        Name of the engine.
    model : str
        Model it serves.
    weights_address : str
        ``ip:port`` of the weight store.
    version : int
        Version it starts with.
    origin : str
        Where it stands, ``region/data-centre``.
    batch_limit : int
        Largest batch.
    tokens_per_second : float
        Rate of one stream in a batch of one; it halves at a full batch.
    prefill_tokens_per_second : float
        Rate at which uncached prompt tokens are read.
    cache_prompts : int
        Number of prompts whose prefix stays cached.
    chunk_tokens : int
        Tokens of one chunk of a stream.
    checks_fencing : bool
        Whether orders with an old fencing token are refused.

    """

    name: str
    model: str
    weights_address: str
    version: int = 0
    origin: str = ''
    batch_limit: int = 16
    tokens_per_second: float = 400
    prefill_tokens_per_second: float = 20_000
    cache_prompts: int = 64
    chunk_tokens: int = 8
    checks_fencing: bool = True
