"""Replicas: targets of a service, as they describe themselves."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class Replica:
    """
    One target of a service.

    Attributes
    ----------
    name : str
        Identifies one target; a later process at its address has another
        name or a later `started_at`.
    service : str
        Service that it belongs to.
    address : str
        ``ip:port`` of its HTTP server.
    data_centre : str
        Data centre it stands in.
    slots : int
        Requests that it processes together.
    is_leaving : bool
        Whether it takes no new requests.
    versions : mapping of str to int
        Weight version of each model that it holds.
    accepted_orders : int
        Orders that it has accepted since its start.
    is_busy : bool
        Whether an order is being carried out.
    started_at : int
        Milliseconds since the epoch; tells apart two processes of a name.

    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    versions: Mapping[str, int] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    accepted_orders: int = 0
    is_busy: bool = False
    started_at: int = 0
