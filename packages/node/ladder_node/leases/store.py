"""The transactions over the rows of leases."""

import uuid
from dataclasses import dataclass

from ladder_clients.table import (
    Condition,
    Outcome,
    TableClient,
    Transaction,
    Write,
)
from ladder_node.leases.lease import Lease, make_fencing_condition
from ladder_node.leases.rows import (
    HEARTBEATS_TABLE,
    LEASES_TABLE,
    Heartbeat,
    LeaseRow,
    decode_lease,
    make_heartbeat_write,
    make_lease_write,
    require_revision,
)


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """
    Who holds a lease.

    Attributes
    ----------
    name : str
        Name of the node.
    address : str
        ``ip:port`` of the node for callers.
    epoch : int
        Fencing token of its acquisition.

    """

    name: str
    address: str
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class LeaseSnapshot:
    """
    A lease as it was read.

    Attributes
    ----------
    name : str
        Name of the lease.
    content : LeaseRow
        The lease's row.
    conditions : tuple of Condition
        Hold while the lease has neither changed hands nor been renewed.
    is_held_elsewhere : bool
        Whether another process holds it or held it last.

    """

    name: str
    content: LeaseRow
    conditions: tuple[Condition, ...]
    is_held_elsewhere: bool


@dataclass(frozen=True, slots=True)
class Grant:
    """
    A lease as it was taken.

    Attributes
    ----------
    epoch : int
        Fencing token of the acquisition.
    revision : int
        Revision of the lease's row after the acquisition.

    """

    epoch: int
    revision: int


class LeaseStore:
    """
    Read and write the rows of leases for one process.

    Parameters
    ----------
    table : TableClient
        The table service.
    node : LeaseHolder
        This node's name and entry address.

    """

    def __init__(self, table: TableClient, node: LeaseHolder) -> None:
        self._table = table
        self._node = node
        self._incarnation = f'{node.name}.{uuid.uuid4().hex}'
        self._renewals = 0

    @property
    def has_heartbeat(self) -> bool:
        """Whether this process may have written its heartbeat row."""
        return self._renewals > 0

    async def read(self, name: str) -> LeaseSnapshot:
        """
        Read a lease, and its holder's heartbeat if that is another process.

        Raises
        ------
        StoreUnavailableError
            The table service does not answer.

        """
        row = await self._table.read(LEASES_TABLE, name)
        content = decode_lease(row)
        unchanged = require_revision(LEASES_TABLE, name, row)
        key = content.incarnation
        if not content.holder or key == self._incarnation:
            return LeaseSnapshot(
                name, content, (unchanged,), is_held_elsewhere=False
            )
        heartbeat = await self._table.read(HEARTBEATS_TABLE, key)
        not_renewed = require_revision(HEARTBEATS_TABLE, key, heartbeat)
        return LeaseSnapshot(
            name, content, (unchanged, not_renewed), is_held_elsewhere=True
        )

    async def acquire(self, snapshot: LeaseSnapshot) -> Grant | None:
        """
        Take a lease if it is still as it was read.

        Raises
        ------
        StoreUnavailableError
            Nothing was taken.
        StoreOutcomeUnknownError
            The lease may be taken; this process may take it again at once.

        """
        content = LeaseRow(
            self._node.name,
            self._node.address,
            self._incarnation,
            snapshot.content.epoch + 1,
        )
        write = make_lease_write(snapshot.name, content)
        outcome = await self._commit(snapshot.conditions, (write,))
        if not outcome.committed:
            return None
        return Grant(content.epoch, outcome.revision)

    async def renew(self, leases: tuple[Lease, ...]) -> Outcome:
        """
        Renew leases by one write of the heartbeat row.

        Raises
        ------
        StoreUnavailableError, StoreOutcomeUnknownError
            The renewal is not confirmed.

        """
        self._renewals += 1
        heartbeat = Heartbeat(self._node.name, self._renewals)
        write = make_heartbeat_write(self._incarnation, heartbeat)
        conditions = tuple(make_fencing_condition(lease) for lease in leases)
        return await self._commit(conditions, (write,))

    async def release(self, leases: tuple[Lease, ...]) -> Outcome:
        """
        Mark leases as free; their epochs stay.

        Raises
        ------
        StoreUnavailableError, StoreOutcomeUnknownError
            The leases run out instead.

        """
        conditions = tuple(make_fencing_condition(lease) for lease in leases)
        writes = tuple(
            make_lease_write(lease.name, LeaseRow(epoch=lease.epoch))
            for lease in leases
        )
        return await self._commit(conditions, writes)

    async def delete_heartbeat(self) -> None:
        """Delete the heartbeat row of a process that holds nothing."""
        await self._commit(
            (), (Write(HEARTBEATS_TABLE, self._incarnation, None),)
        )

    async def find_holder(self, name: str) -> LeaseHolder | None:
        """
        Return the node that a lease's row names, or None.

        Raises
        ------
        StoreUnavailableError
            The table service does not answer.

        """
        content = decode_lease(await self._table.read(LEASES_TABLE, name))
        if not content.holder:
            return None
        return LeaseHolder(content.holder, content.address, content.epoch)

    async def _commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
    ) -> Outcome:
        token = uuid.uuid4().hex
        return await self._table.commit(Transaction(token, conditions, writes))
