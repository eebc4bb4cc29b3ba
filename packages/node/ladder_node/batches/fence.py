"""
Fencing of the partitions that hold the results of batches.

Explanation
-----------
A transaction is limited to one partition, so its conditions cannot include the
row of the lease. A new holder therefore writes its epoch into an owner row of
each partition before it reads anything there. Each write of results requires
that the owner row has not changed since, so the table service refuses a late
write of an earlier holder.
"""

import asyncio
import uuid
from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from ladder_clients.table import (
    Condition,
    PartitionedTableClient,
    Row,
    StoreOutcomeUnknownError,
    Transaction,
    Write,
)
from ladder_core.errors import NotRunError, StoreUnavailableError
from ladder_core.messages import decode_json
from ladder_core.timers import TimerService
from ladder_node.batches.records import OWNERS_TABLE, OwnerRow, list_shards
from ladder_node.leases import Lease

_OWNER_KEY = 'owner'
_RETRY_INTERVAL_SECONDS = 0.15
# Time for which work continues under a lapsed lease. It gives the other nodes
# time to report whether they reach the table service, and this node time to
# renew the lease after an outage.
_LAPSE_GRACE_SECONDS = 1.2


class OwnershipLostError(NotRunError):
    """Another node runs the batches now, or may do so."""

    kind = 'ownership-lost'


class DutyUnfitError(OwnershipLostError):
    """Another node can run the batches better than the lease holder."""

    kind = 'duty-unfit'


class Fence:
    """
    Prevent writes of nodes that held the lease before this one.

    Parameters
    ----------
    table : PartitionedTableClient
        Holds the owner row of each partition.
    lease : Lease
        Lease under which this node writes; its epoch is the fencing token.
    node : str
        Name of this node, written into the owner rows.
    timers : TimerService
        Clock for retries and for the time since the lease lapsed.
    is_outage_shared : callable
        Returns whether the other nodes do not reach the table service either.

    """

    def __init__(
        self,
        table: PartitionedTableClient,
        lease: Lease,
        node: str,
        timers: TimerService,
        is_outage_shared: Callable[[], bool],
    ) -> None:
        self._is_outage_shared = is_outage_shared
        # Time since which the lease has lapsed, not counting shared outages.
        self._lapsed_since: float | None = None
        self._table = table
        self._lease = lease
        self._own_row = OwnerRow(node, lease.epoch)
        self._timers = timers
        self._revisions: dict[str, int] = {}

    @property
    def is_held(self) -> bool:
        """Whether the lease is valid now, so that orders may be sent."""
        return self._lease.is_valid()

    @property
    def epoch(self) -> int:
        """Fencing token of the lease."""
        return self._lease.epoch

    async def fence_partitions(self) -> None:
        """
        Write the owner row of all partitions.

        Raises
        ------
        OwnershipLostError
            Another node holds a later lease, or this lease has expired.

        """
        await asyncio.gather(
            *(self._fence_partition(shard) for shard in list_shards())
        )

    def check(self) -> None:
        """
        Raise an error if another node may be running the batches.

        Explanation
        -----------
        While no node reaches the table service, no node can acquire a lapsed
        lease, so the running tasks continue; writes and orders wait. If only
        this node does not reach the service, another node may have acquired
        the lease, so this node stops.

        Raises
        ------
        OwnershipLostError
            The lease has expired, and another node may have acquired it.

        """
        if self._lease.is_valid():
            self._lapsed_since = None
            return
        now = self._timers.now()
        if self._lapsed_since is None or self._is_outage_shared():
            self._lapsed_since = now
        is_over = now - self._lapsed_since > _LAPSE_GRACE_SECONDS
        if self._lease.is_ended or is_over:
            raise OwnershipLostError(
                f'lease {self._lease.name} has expired',
                remedy='acquire the lease again',
            )

    def make_condition(self, shard: str) -> Condition:
        """Return the condition that no later holder has fenced a partition."""
        return Condition(
            OWNERS_TABLE, _OWNER_KEY, self._revisions[shard], shard
        )

    def check_conflicts(self, shard: str, rows: Iterable[Row]) -> None:
        """
        Check the rows that prevented a transaction from being committed.

        If only the revision of the own owner row differs, it is updated, and
        the transaction may be repeated.

        Raises
        ------
        OwnershipLostError
            A later holder has fenced the partition.

        """
        for row in rows:
            if row.table == OWNERS_TABLE and row.part == shard:
                self._update_revision(shard, row)

    async def _fence_partition(self, shard: str) -> None:
        while True:
            self.check()
            try:
                if await self._try_fence(shard):
                    return
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                logger.info(
                    'owner row of partition {} is not written yet: {}',
                    shard,
                    error.message,
                )
                await self._timers.sleep(_RETRY_INTERVAL_SECONDS)

    async def _try_fence(self, shard: str) -> bool:
        row = await self._table.read_from_partition(
            OWNERS_TABLE, shard, _OWNER_KEY
        )
        if row is not None and _decode(row) == self._own_row:
            self._revisions[shard] = row.revision
            return True
        if row is not None and _decode(row).epoch >= self._own_row.epoch:
            raise _make_ownership_error(_decode(row))
        revision = row.revision if row else 0
        body = msgspec.json.encode(self._own_row).decode()
        outcome = await self._table.commit(
            Transaction(
                uuid.uuid4().hex,
                (Condition(OWNERS_TABLE, _OWNER_KEY, revision, shard),),
                (Write(OWNERS_TABLE, _OWNER_KEY, body, shard),),
            ),
        )
        self._revisions[shard] = outcome.revision
        return outcome.committed

    def _update_revision(self, shard: str, row: Row) -> None:
        if not row.revision or _decode(row) != self._own_row:
            raise _make_ownership_error(
                _decode(row) if row.revision else self._own_row
            )
        self._revisions[shard] = row.revision


def _decode(row: Row) -> OwnerRow:
    return decode_json(row.body, OwnerRow)


def _make_ownership_error(owner: OwnerRow) -> OwnershipLostError:
    return OwnershipLostError(
        f'node {owner.node} runs the batches under epoch {owner.epoch}',
        remedy='stop the work on the batches',
    )
