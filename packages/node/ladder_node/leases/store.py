"""Transactions on the rows of leases."""

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
    The holder of a lease.

    Attributes
    ----------
    name : str
        Name of the node.
    address : str
        ``ip:port`` at which callers reach the node.
    epoch : int
        Fencing token of its acquisition; zero if not known.

    """

    name: str
    address: str
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class LeaseSnapshot:
    """
    The state of a lease when it was read.

    Attributes
    ----------
    name : str
        Name of the lease.
    content : LeaseRow
        Content of the lease's row.
    conditions : tuple of Condition
        Conditions that hold while the lease is neither acquired, released
        nor renewed.
    is_held_elsewhere : bool
        Whether the row names another process as the holder.

    """

    name: str
    content: LeaseRow
    conditions: tuple[Condition, ...]
    is_held_elsewhere: bool


@dataclass(frozen=True, slots=True)
class Grant:
    """
    The result of an acquisition.

    Attributes
    ----------
    epoch : int
        Fencing token of the new holder.
    revision : int
        Revision of the lease's row after the acquisition.

    """

    epoch: int
    revision: int


class LeaseStore:
    """
    Read and write the rows of leases on behalf of one process.

    Parameters
    ----------
    table : TableClient
        Client of the table service that stores the rows.
    node : LeaseHolder
        Name and entry address of this node, written into its leases.

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
        Read a lease, and the heartbeat of its holder if it is held elsewhere.

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
        Acquire a lease if it has not changed since it was read.

        Raises
        ------
        StoreUnavailableError
            The lease was not acquired.
        StoreOutcomeUnknownError
            The lease may have been acquired. This process may acquire it
            again at once.

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
        Renew leases with one write of the heartbeat row.

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

    async def release(
        self, leases: tuple[Lease, ...], successor: str = ''
    ) -> Outcome:
        """
        Mark leases as free and keep their epochs.

        Parameters
        ----------
        leases : tuple of Lease
            Leases that this process holds.
        successor : str, optional
            Name of the node that they are meant for; any node by default.

        Raises
        ------
        StoreUnavailableError, StoreOutcomeUnknownError
            The release is not confirmed; leases that are not released expire.

        """
        conditions = tuple(make_fencing_condition(lease) for lease in leases)
        writes = tuple(
            make_lease_write(
                lease.name, LeaseRow(epoch=lease.epoch, successor=successor)
            )
            for lease in leases
        )
        return await self._commit(conditions, writes)

    async def delete_heartbeat(self) -> None:
        """Delete the heartbeat row once this process holds no lease."""
        await self._commit(
            (), (Write(HEARTBEATS_TABLE, self._incarnation, None),)
        )

    async def find_holder(self, name: str) -> LeaseHolder | None:
        """
        Return the holder that a lease's row names, or None.

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
