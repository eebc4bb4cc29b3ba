"""Direct callers to hosts that reach what they ask for."""

from collections.abc import Iterable
from dataclasses import dataclass

# Share of the capacity of all hosts that the hosts with paths need to have to
# serve the callers of all.
_MIN_CAPACITY_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class HostView:
    """
    A host that callers may be directed to.

    Attributes
    ----------
    name : str
        Name of the host.
    capacity : float
        Processing capacity, in any unit.
    reaches_all : bool
        Whether it has lost its path to no service.

    """

    name: str
    capacity: float = 1
    reaches_all: bool = True


def prefer_reaching(hosts: Iterable[HostView]) -> set[str]:
    """
    Return the names of the hosts that callers are directed to.

    Explanation
    -----------
    Hosts that lost a path are left out as long as the others are enough. If
    they aren't, all hosts serve, and those without a path relay what they get.

    Parameters
    ----------
    hosts : iterable of HostView
        The hosts that accept callers.

    Examples
    --------
    >>> cut = HostView('a', reaches_all=False)
    >>> sorted(prefer_reaching([cut, HostView('b')]))
    ['b']
    >>> sorted(prefer_reaching([cut]))
    ['a']

    """
    found = list(hosts)
    reaching = [host for host in found if host.reaches_all]
    total = sum(host.capacity for host in found)
    left = sum(host.capacity for host in reaching)
    chosen = reaching if left >= _MIN_CAPACITY_SHARE * total else found
    return {host.name for host in chosen}
