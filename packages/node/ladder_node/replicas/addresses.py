"""Processes of replicas by their address."""

from collections import defaultdict

from ladder_node.replicas.record import ReplicaRecord


class AddressIndex:
    """
    Find the listed processes whose address a later one has.

    The entry of a process that crashed stays listed until it lapses, while
    another process may already listen at its address.
    """

    def __init__(self) -> None:
        self._records: defaultdict[str, set[ReplicaRecord]] = defaultdict(set)

    def add(self, record: ReplicaRecord) -> None:
        """Add a process that is listed."""
        self._records[record.replica.address].add(record)

    def discard(self, record: ReplicaRecord) -> None:
        """Remove a process that is no longer listed."""
        records = self._records[record.replica.address]
        records.discard(record)
        if not records:
            self._records.pop(record.replica.address)

    def find_latest(self, address: str) -> ReplicaRecord | None:
        """Return the process at an address that started last, or None."""
        return max(self._records.get(address, ()), key=_get_start, default=None)

    def list_earlier(self, latest: ReplicaRecord) -> list[ReplicaRecord]:
        """Return the processes at the same address that started before."""
        return [
            record
            for record in self._records[latest.replica.address]
            if _get_start(record) < _get_start(latest)
        ]


def _get_start(record: ReplicaRecord) -> int:
    return record.replica.started_at
