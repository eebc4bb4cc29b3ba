"""
Spread duties over the live nodes.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998 (rendezvous hashing).

"""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import xxhash

# By which a node's period is longer than that of the rank before: small, so
# that a lease is found although the first ranks are cut off; above one, so that
# the reads of a duty stay the same however many nodes there are.
_PERIOD_GROWTH = 1.25
_MAX_RANK = 20
_JITTER_STEPS = 1024
_EQUAL_CAPACITIES: Mapping[str, float] = MappingProxyType({})


def rank_node(
    duty: str,
    node: str,
    nodes: Iterable[str],
    capacities: Mapping[str, float] = _EQUAL_CAPACITIES,
) -> int:
    """
    Return a node's position among the candidates for a duty.

    Parameters
    ----------
    duty : str
        Name of the duty.
    node : str
        The node asked about; it counts as live itself.
    nodes : iterable of str
        The live nodes.
    capacities : mapping of str to float, optional
        What the host of a node can do, in any unit; nodes on hosts that can
        do twice as much come first.

    Returns
    -------
    int
        Zero for the node that tries first. A node that goes or comes
        changes the first place of its own duties only.

    Examples
    --------
    >>> nodes = ['node-1', 'node-2', 'node-3']
    >>> sorted(rank_node('pool/taproom', node, nodes) for node in nodes)
    [0, 1, 2]
    >>> rank_node('pool/taproom', 'node-2', nodes, {'node-2': 4})
    0

    """

    def compute_weight(name: str) -> tuple[int, int]:
        size = math.floor(math.log2(capacities.get(name, 1)))
        return (size, _hash_weight(duty, name))

    own = compute_weight(node)
    return sum(compute_weight(other) > own for other in set(nodes) - {node})


def choose_period(duty: str, node: str, rank: int) -> float:
    """
    Return how often a node looks at a duty's lease.

    Explanation
    -----------
    The period grows by the same ratio with each rank, so the reads of a duty
    stay the same however many nodes there are; a duty is taken over also when
    the first ranks are all gone and the host list still names them.

    Parameters
    ----------
    duty, node : str
        The duty and the node.
    rank : int
        The node's rank for the duty.

    Returns
    -------
    float
        Seconds; at the longest periods each node has one of its own, so
        that the nodes do not all look at once.

    Examples
    --------
    >>> periods = [choose_period('pool', 'node-1', rank) for rank in range(4)]
    >>> [round(period, 2) for period in periods]
    [1.0, 1.25, 1.56, 1.95]

    """
    if rank < _MAX_RANK:
        return _PERIOD_GROWTH**rank
    fraction = _hash_weight(duty, node) % _JITTER_STEPS / _JITTER_STEPS
    return _PERIOD_GROWTH**_MAX_RANK * (1 + fraction)


def _hash_weight(duty: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{duty}\n{node}'.encode())
