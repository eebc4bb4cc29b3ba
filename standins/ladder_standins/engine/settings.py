"""Settings of the engine stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """
    Identity, capacity and rates of an engine.

    Attributes
    ----------
    name : str
        Name of the engine in the host list.
    model : str
        Model that the engine serves.
    weights_address : str
        Address ``ip:port`` of the weight store, for swaps.
    version : int
        Weight version that is loaded at the start.
    origin : str
        Location of the engine, ``region/data-centre``.
    batch_limit : int
        Largest number of requests in the batch.
    tokens_per_second : float
        Rate of one stream in an otherwise empty batch; in a full batch it is
        half as high.
    prefill_tokens_per_second : float
        Rate at which uncached tokens of the prompt are processed.
    cache_prompts : int
        Number of prompts that are kept in the prefix cache.
    chunk_tokens : int
        Number of tokens in one chunk of a stream.
    checks_fencing : bool
        Whether the engine refuses orders with a stale fencing token.

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
