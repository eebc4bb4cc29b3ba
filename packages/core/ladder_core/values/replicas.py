"""Replicas of services, as reported by the replicas themselves."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class Replica:
    """
    Target that serves requests of a service.

    Attributes
    ----------
    name : str
        Name of the replica; a later process at the same address has another
        name or a later `started_at`.
    service : str
        Name of the service that the replica belongs to.
    address : str
        ``ip:port`` of the HTTP server of the replica.
    data_centre : str
        Data centre in which the replica is located.
    slots : int
        Number of requests that the replica processes concurrently.
    is_leaving : bool
        Whether the replica is leaving and accepts no new requests.
    versions : mapping of str to int
        Weight version of each model that the replica has loaded.
    accepted_orders : int
        Number of orders accepted since the start of the replica.
    is_busy : bool
        Whether the replica is executing an order.
    started_at : int
        Start time in milliseconds since the Unix epoch; distinguishes
        successive processes with the same name.
    software_version : str
        Version of the software of the process; empty if it is not known.
    is_spot : bool
        Whether the platform may take the replica back at short notice.
    leaves_in_seconds : float or None
        Time until the platform takes the replica back, when its state was
        written; None unless it is taken back.

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
    software_version: str = ''
    is_spot: bool = False
    leaves_in_seconds: float | None = None

    @property
    def software_id(self) -> str:
        """
        Identify the software whose parts of a text fit together.

        It is the version; a process of unknown version has an id of its own.
        """
        return self.software_version or f'{self.name}@{self.started_at}'
