"""
Spread duties over the live nodes.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998 (rendezvous hashing).

"""

from collections.abc import Iterable

import xxhash

_STEP_SECONDS = 1
_MAX_DELAY_SECONDS = 20


def rank_node(duty: str, node: str, nodes: Iterable[str]) -> int:
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

    """
    own = _weigh(duty, node)
    return sum(_weigh(duty, other) > own for other in set(nodes) - {node})


def delay_acquisition(duty: str, node: str, nodes: Iterable[str]) -> float:
    """
    Return the seconds by which a node waits for those ranked before it.

    Parameters
    ----------
    duty, node, nodes
        As for `rank_node`.

    Returns
    -------
    float
        Seconds; bounded, so that a duty is taken also when the host list
        still names many nodes that are gone.

    """
    rank = rank_node(duty, node, nodes)
    return min(rank * _STEP_SECONDS, _MAX_DELAY_SECONDS)


def _weigh(duty: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{duty}\n{node}'.encode())
