"""Order the hosts through which requests to a service are relayed."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

_HASH_BITS = 64


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """
    A host that may relay requests.

    Attributes
    ----------
    name : str
        Name of the host.
    address : str
        ``ip:port`` at which it accepts other hosts.
    distance : int
        0 in this host's data centre, 1 in its region, 2 in other regions.
    data_centre : str
        Data centre of the host.
    capacity : float
        Processing capacity, in any unit above zero.
    has_failed : bool
        Whether it recently could not relay a request.
    has_proved : bool
        Whether it recently showed that it reaches the service.

    """

    name: str
    address: str
    distance: int = 0
    data_centre: str = ''
    capacity: float = 1
    has_failed: bool = False
    has_proved: bool = False


def draw_weighted(key: str, candidate: RelayCandidate) -> float:
    """
    Return the draw of a host for a key; the least one of several hosts wins.

    A host wins in proportion to its capacity (weighted rendezvous hashing).
    """
    digest = xxhash.xxh3_64_intdigest(f'{key}\n{candidate.name}'.encode())
    drawn = (digest + 1) / (2**_HASH_BITS + 1)
    return -math.log(drawn) / candidate.capacity


def order_relays(
    host: str, candidates: Iterable[RelayCandidate]
) -> list[RelayCandidate]:
    """
    Return the hosts to try one after the other.

    Explanation
    -----------
    Hosts that are known to reach the service come first, near ones before
    others. Whole data centres lose their paths together, so
    each host that follows is in another data centre than those before it, as
    far as there are others. Within a data centre the load is spread by
    capacity (weighted rendezvous hashing).

    Parameters
    ----------
    host : str
        Name of the host whose requests are relayed.
    candidates : iterable of RelayCandidate
        Live hosts that are not known to have lost their path.

    Examples
    --------
    >>> near = [RelayCandidate(name, '', 0, 'a') for name in ('a1', 'a2')]
    >>> far = RelayCandidate('b1', '', 1, 'b')
    >>> ordered = order_relays('a3', [*near, far])
    >>> [relay.data_centre for relay in ordered]
    ['a', 'b', 'a']

    """

    def rank(candidate: RelayCandidate) -> tuple[bool, bool, int, float]:
        return (
            candidate.has_failed,
            not candidate.has_proved,
            candidate.distance,
            draw_weighted(host, candidate),
        )

    places: dict[str, int] = {}
    rounds: list[tuple[bool, bool, int, RelayCandidate]] = []
    for candidate in sorted(candidates, key=rank):
        place = places.get(candidate.data_centre, 0)
        places[candidate.data_centre] = place + 1
        rounds.append(
            (candidate.has_failed, not candidate.has_proved, place, candidate)
        )
    rounds.sort(key=lambda entry: entry[:3])
    return [candidate for _, _, _, candidate in rounds]
