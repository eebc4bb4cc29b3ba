"""Entries of the host list of the platform."""

from dataclasses import dataclass
from enum import StrEnum


class HostKind(StrEnum):
    """Type of process that runs on a host."""

    entry = 'entry'
    engine = 'engine'
    service = 'service'
    scorer = 'scorer'


class HostState(StrEnum):
    """State of a host according to the platform."""

    live = 'live'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class HostEntry:
    """
    Entry of the host list of the platform.

    Attributes
    ----------
    name : str
        Name of the host, unique in the list.
    kind : HostKind
        Type of process that runs on the host.
    address : str
        ``ip:port`` of the HTTP server on the host.
    data_centre : str
        Data centre in which the host is located.
    region : str
        Region of the data centre.
    state : HostState
        Whether the host stays in service or is about to leave.
    pool : str
        Pool that the target belongs to; empty for an entry host.
    model : str
        Model that the engine serves; empty for other hosts.
    peer_address : str
        ``ip:port`` on which an entry host listens to its peers; empty for
        other hosts.
    checks_fencing : bool
        Whether the engine refuses orders with an old fencing token.

    """

    name: str
    kind: HostKind
    address: str
    data_centre: str
    region: str
    state: HostState = HostState.live
    pool: str = ''
    model: str = ''
    peer_address: str = ''
    checks_fencing: bool = True
