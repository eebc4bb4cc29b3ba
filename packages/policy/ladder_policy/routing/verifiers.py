"""Choice of the hosts that check their paths when another one lost its own."""

from collections.abc import Collection

import xxhash

_MAX_VERIFIERS = 10


def is_verifier(host: str, service: str, hosts: Collection[str]) -> bool:
    """
    Return whether a host checks its path to a service.

    Explanation
    -----------
    A host without requests does not notice that it lost its path. Each check
    costs a replica a connection, so in a large fleet only some hosts make it
    (rendezvous hashing); the others notice at their first request.

    Examples
    --------
    >>> is_verifier('a', 'taproom', ['a', 'b', 'c'])
    True

    """

    def rank(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f'{service}\n{name}'.encode())

    before = sum(rank(other) < rank(host) for other in hosts)
    return before < _MAX_VERIFIERS
