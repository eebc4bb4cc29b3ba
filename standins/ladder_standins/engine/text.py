"""
Tokens that the engine stand-in generates.

Each token is derived from prompt, seed and position, so that a test can verify
that a text belongs to its request and that no token is lost or repeated.
"""

import re

import numpy as np
import xxhash

_LENGTH_PATTERN = re.compile(r'\[length=(\d+)\]')
_DRAW_PATTERN = re.compile(r'\[draw=([0-9.]+):([0-9.]+):([0-9.]+):([0-9.]+)\]')
_MEDIAN_TOKENS = 24
_SIGMA = 0.5
_TOKEN_DIGITS = 6


def make_token(prompt: str, seed: int, position: int) -> str:
    """
    Return the token at a position of a generation.

    It depends on nothing but the three arguments.

    Parameters
    ----------
    prompt : str
        Prompt of the generation.
    seed : int
        Seed of the sampling.
    position : int
        Index of the token in the generated text, from zero.

    Returns
    -------
    str
        Hexadecimal word with a trailing space.

    """
    digest = xxhash.xxh64_hexdigest(f'{prompt}\n{seed}\n{position}'.encode())
    return f'{digest[:_TOKEN_DIGITS]} '


def draw_length(prompt: str, seed: int, max_tokens: int) -> int:
    """
    Return the number of tokens of a generation.

    Parameters
    ----------
    prompt : str
        Prompt of the generation. ``[length=N]`` in it sets the length.
        ``[draw=MEDIAN:SIGMA:SHARE:TIMES]`` in it sets the distribution: it
        is log-normal, and lengths are multiplied by ``TIMES`` for a random
        ``SHARE`` of the seeds.
    seed : int
        Seed of the sampling, which also seeds the distribution.
    max_tokens : int
        Largest length, in tokens.

    Returns
    -------
    int
        Length from one to `max_tokens`, from a log-normal distribution by
        default.

    """
    match = _LENGTH_PATTERN.search(prompt)
    if match:
        return min(int(match.group(1)), max_tokens)
    digest = xxhash.xxh64_intdigest(f'{prompt}\n{seed}'.encode())
    rng = np.random.default_rng(digest)
    return max(1, min(_draw_from_distribution(prompt, rng), max_tokens))


def _draw_from_distribution(prompt: str, rng: np.random.Generator) -> int:
    match = _DRAW_PATTERN.search(prompt)
    if not match:
        return int(rng.lognormal(np.log(_MEDIAN_TOKENS), _SIGMA))
    median, sigma, long_share, long_ratio = (
        float(text) for text in match.groups()
    )
    length = rng.lognormal(np.log(median), sigma)
    is_long = rng.random() < long_share
    return int(length * long_ratio if is_long else length)
