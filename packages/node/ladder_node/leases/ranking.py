"""
Rank nodes as candidates for duties.

Notes
-----
Rendezvous hashing gives each duty its own order of the live nodes, which
spreads the duties over them.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998 (rendezvous hashing).

"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

import xxhash

from ladder_policy.duties import find_size

# Ratio of a rank's period to that of the rank before. It is small, so that a
# lease is taken over soon even if the first ranks are cut off, and above one,
# so that the read rate per duty hardly depends on the number of nodes.
_PERIOD_GROWTH = 1.25
# Periods stop growing at this rank.
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
    Return a node's rank among the candidates for a duty.

    Parameters
    ----------
    duty : str
        Name of the duty.
    node : str
        Name of the node to rank; it counts as live even if `nodes` lacks it.
    nodes : iterable of str
        Names of the live nodes.
    capacities : mapping of str to float, optional
        Capacity of each node's host, above zero and in any unit; 1 for nodes
        that it lacks. It is rounded down to a power of two, and nodes with a
        higher power rank first.

    Returns
    -------
    int
        Zero for the node that tries first. When a node joins or leaves,
        rank zero changes only for the duties that this node ranks first for.

    Examples
    --------
    >>> nodes = ['node-1', 'node-2', 'node-3']
    >>> sorted(rank_node('pool/taproom', node, nodes) for node in nodes)
    [0, 1, 2]
    >>> rank_node('pool/taproom', 'node-2', nodes, {'node-2': 4})
    0

    """

    def compute_weight(name: str) -> tuple[int, int]:
        return (find_size(capacities.get(name, 1)), _hash_weight(duty, name))

    own = compute_weight(node)
    return sum(compute_weight(other) > own for other in set(nodes) - {node})


def choose_period(duty: str, node: str, rank: int) -> float:
    """
    Return the period at which a node tries for a duty's lease.

    Explanation
    -----------
    The period grows by a constant ratio with each rank, so the read rate per
    duty hardly depends on the number of nodes. A duty is taken over even if
    all first ranks have failed while the host list still names them.

    Parameters
    ----------
    duty, node : str
        Names of the duty and of the node; they determine the jitter.
    rank : int
        The node's rank for the duty, from zero.

    Returns
    -------
    float
        Seconds. The longest periods have a jitter for each node, so that the
        nodes do not all read the lease at once.

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
