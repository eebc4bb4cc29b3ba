"""Choice of the host that takes a duty over."""

import math
from collections.abc import Iterable

from ladder_policy.routing import RelayCandidate


def find_size(capacity: float) -> int:
    """
    Return the power of two that a capacity is rounded down to.

    Examples
    --------
    >>> find_size(2.15), find_size(0.5)
    (1, -1)

    """
    return math.floor(math.log2(capacity))


def order_successors(
    hosts: Iterable[RelayCandidate],
) -> list[RelayCandidate]:
    """
    Return hosts that may take a duty over, the best first.

    Hosts that recently failed to reach the targets come last, and large hosts
    before small ones.

    Examples
    --------
    >>> small = RelayCandidate('a', '', capacity=0.5)
    >>> large = RelayCandidate('b', '', capacity=2.15)
    >>> [host.name for host in order_successors([small, large])]
    ['b', 'a']

    """
    return sorted(
        hosts, key=lambda host: (host.has_failed, -find_size(host.capacity))
    )
