"""Bytes that a process holds for its clients, and their limits."""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum, auto

from ladder_node.serving.metrics import HELD_BYTES

# Memory of a process that holds nothing for clients, with some margin.
_IDLE_BYTES = 60_000_000
# A byte that is counted takes up to two in memory: buffers that grow, copies
# on the way to a replica, and fragmentation.
_BUDGET_SHARE = 0.5
_MIN_BUDGET_BYTES = 4_000_000
_DEFAULT_MEMORY_BYTES = 552_000_000
_LARGE_SHARE = 0.75
_ADDRESS_SHARE = 0.75
# Descriptors that the platform reserves for files.
_RESERVED_DESCRIPTORS = 200
_DEFAULT_DESCRIPTORS = 1638
# The rest is for connections to replicas, to nodes and to the store.
_CLIENT_SHARE = 0.75
# Memory of an idle connection with its buffers, four times over.
_CONNECTION_BYTES = 64_000
_MIN_CONNECTIONS = 8


class HeldKind(StrEnum):
    """
    What bytes are held for.

    Attributes
    ----------
    head
        Header fields of requests in progress, and decoded bodies.
    body
        Bodies of requests, from their admission until the response is sent.
    response
        Responses that are read from replicas or wait to be written.

    """

    head = auto()
    body = auto()
    response = auto()


@dataclass(frozen=True, slots=True)
class HostLimits:
    """
    Limits of the host that a process has to keep.

    Attributes
    ----------
    memory_bytes : int
        Memory above which the process is killed.
    descriptors : int
        Number of file descriptors that the process may open.

    """

    memory_bytes: int = _DEFAULT_MEMORY_BYTES
    descriptors: int = _DEFAULT_DESCRIPTORS

    @property
    def budget_bytes(self) -> int:
        """Bytes that may be held for clients at once."""
        usable = self.memory_bytes - _IDLE_BYTES
        return max(int(usable * _BUDGET_SHARE), _MIN_BUDGET_BYTES)

    @property
    def max_connections(self) -> int:
        """Number of connections of clients that may be open at once."""
        reserved = min(_RESERVED_DESCRIPTORS, self.descriptors // 2)
        by_descriptors = int((self.descriptors - reserved) * _CLIENT_SHARE)
        usable = max(self.memory_bytes - _IDLE_BYTES, 0)
        by_memory = usable // _CONNECTION_BYTES
        return max(min(by_descriptors, by_memory), _MIN_CONNECTIONS)


class ByteBudget:
    """
    Count the bytes that a process holds for its clients.

    Explanation
    -----------
    Large bodies may take a part of the budget only, so that small requests
    keep a reserve, and one peer address a part of that. A large body is always
    admitted if no other one is held: a single request within the limits of
    callers has to be served.

    Parameters
    ----------
    total_bytes : int
        Bytes that may be held at once.

    Examples
    --------
    >>> budget = ByteBudget(1000)
    >>> budget.admits_large('10.0.0.1', 2000, 0)
    True
    >>> budget.hold_large('10.0.0.1', 500)
    >>> budget.admits_large('10.0.0.1', 200, 0)
    False
    >>> budget.admits_large('10.0.0.2', 200, 0)
    True

    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self._max_large_bytes = int(total_bytes * _LARGE_SHARE)
        self._max_address_bytes = int(self._max_large_bytes * _ADDRESS_SHARE)
        self._held: Counter[HeldKind] = Counter()
        self._large: Counter[str] = Counter()
        self._large_bytes = 0
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now."""
        return self._held_bytes

    def admits(self, size: int) -> bool:
        """Return whether some bytes fit."""
        return self._held_bytes + size <= self.total_bytes

    def admits_large(self, address: str, size: int, own_bytes: int) -> bool:
        """
        Return whether more of a large body may be held.

        Parameters
        ----------
        address : str
            Peer address.
        size : int
            Bytes to hold in addition.
        own_bytes : int
            Bytes of the same body that are held already.

        """
        if self._large_bytes == own_bytes:
            return True
        held = self._large[address]
        return (
            self._large_bytes + size <= self._max_large_bytes
            and held + size <= self._max_address_bytes
            and self.admits(size)
        )

    def hold_large(self, address: str, size: int) -> None:
        """Count bytes of a large body; a negative size releases them."""
        self._large_bytes += size
        self._large[address] += size
        if not self._large[address]:
            self._large.pop(address)
        self.hold(HeldKind.body, size)

    def hold(self, kind: HeldKind, size: int) -> None:
        """Count bytes of some kind; a negative size releases them."""
        self._held_bytes += size
        self._held[kind] += size

    def publish(self) -> None:
        """Set the metrics."""
        for kind in HeldKind:
            HELD_BYTES.labels(kind).set(self._held[kind])
