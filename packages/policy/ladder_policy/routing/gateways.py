"""
Choose the hosts whose connections to replicas a data centre shares.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998, on rendezvous hashing; weights
as in Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005.

"""

import heapq
import math
from collections.abc import Iterable

from ladder_policy.routing.relays import RelayCandidate, draw_weighted

# With fewer hosts in a data centre, gateways would be a large part of them.
_MIN_HOSTS = 9
_HOSTS_PER_GATEWAY = 16
# A host always has a second gateway for the time in which the first is down.
_MIN_GATEWAYS = 2


def choose_gateways(
    host: str, service: str, hosts: Iterable[RelayCandidate]
) -> list[RelayCandidate]:
    """
    Return the gateways of a host to a service, the one to use first.

    Explanation
    -----------
    With few requests at each host, most connections are made for the first
    request after a restart or after the idle time. The hosts of a data centre
    therefore send such requests through a few of them, whose connections stay
    in use. Gateways are drawn by capacity (weighted rendezvous hashing), so
    that a host that comes or goes changes one gateway at most, and each
    service has its own. Each host orders the gateways by a draw of its own,
    which divides the hosts among them.

    Parameters
    ----------
    host : str
        Name of the host that has a request.
    service : str
        Name of the service.
    hosts : iterable of RelayCandidate
        Live hosts of the data centre that can be gateways, the host itself
        included.

    Returns
    -------
    list of RelayCandidate
        Empty if the host uses its own connections: it is a gateway itself, or
        the data centre is too small for gateways.

    Examples
    --------
    >>> hosts = [RelayCandidate(f'h{number}', '') for number in range(32)]
    >>> [gateway.name for gateway in choose_gateways('h0', 'taproom', hosts)]
    ['h25', 'h2']
    >>> choose_gateways('h2', 'taproom', hosts)
    []
    >>> choose_gateways('h0', 'taproom', hosts[:8])
    []

    """
    found = list(hosts)
    if len(found) < _MIN_HOSTS:
        return []
    count = max(math.ceil(len(found) / _HOSTS_PER_GATEWAY), _MIN_GATEWAYS)
    gateways = heapq.nsmallest(
        count, found, key=lambda candidate: draw_weighted(service, candidate)
    )
    if any(gateway.name == host for gateway in gateways):
        return []
    return sorted(gateways, key=lambda gateway: draw_weighted(host, gateway))
