"""Delete expired intent rows at a bounded rate."""

import random
import uuid

from loguru import logger

from ladder_clients.table import (
    Condition,
    Row,
    TableClient,
    Transaction,
    Write,
)
from ladder_core.errors import MayHaveRunError, StoreUnavailableError
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.dispatch.intent import (
    INTENT_TABLE,
    SHARD_CHARACTERS,
    SHARD_COUNT,
    decode_intent,
)

INTENT_LIFETIME_SECONDS = 86_400

_CLEAN_INTERVAL_SECONDS = 10
_MAX_ROWS_READ_PER_SECOND = 2
_BATCH_ROWS = 64
_MILLISECONDS_PER_SECOND = 1000
_STORE_ERRORS = (StoreUnavailableError, MayHaveRunError)


class IntentCleaner(Component):
    """
    Delete the expired intent rows, one shard at a time.

    Parameters
    ----------
    table : TableClient
        Client of the table service that stores the rows.
    timers : TimerService
        Schedules the scans and supplies the wall clock for the age of rows.
    name : str
        Name of the node; it seeds the random order of the shards.

    Notes
    -----
    All nodes clean, each in its own random order, so that no node needs to be
    assigned to it. After a scan a node pauses in proportion to the rows it
    read, which bounds the read rate; it writes one transaction per scan. For
    intent rows, wall clocks of hosts are compared only here: an error of
    minutes shifts the end of a lifetime of a day by minutes.

    """

    def __init__(
        self,
        table: TableClient,
        timers: TimerService,
        name: str,
    ) -> None:
        self._table = table
        self._timers = timers
        self._random = random.Random(name)
        self._paused_until = timers.now()
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Start to clean periodically."""
        self._periodic_call = self._timers.call_periodically(
            _CLEAN_INTERVAL_SECONDS,
            self._clean_random_shard,
        )

    async def close(self) -> None:
        """Stop cleaning."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    async def clean(self, prefix: str) -> int:
        """
        Delete a batch of the expired rows whose keys have a prefix.

        Parameters
        ----------
        prefix : str
            First characters of the keys; empty for all rows.

        Returns
        -------
        int
            Number of rows read, expired or not.

        """
        rows = await self._table.scan(INTENT_TABLE, prefix)
        expired = [row for row in rows if self._is_expired(row)]
        batch = expired[:_BATCH_ROWS]
        if batch:
            await self._delete(batch)
        return len(rows)

    async def _clean_random_shard(self) -> None:
        if self._timers.now() < self._paused_until:
            return
        shard = self._random.randrange(SHARD_COUNT)
        try:
            count = await self.clean(f'{shard:0{SHARD_CHARACTERS}x}')
        except _STORE_ERRORS as error:
            logger.warning('expired intent rows not deleted: {}', error)
            return
        pause = count / _MAX_ROWS_READ_PER_SECOND
        self._paused_until = self._timers.now() + pause

    def _is_expired(self, row: Row) -> bool:
        age = self._timers.wall_milliseconds()
        age -= decode_intent(row.body).created_ms
        return age > INTENT_LIFETIME_SECONDS * _MILLISECONDS_PER_SECOND

    async def _delete(self, rows: list[Row]) -> None:
        await self._table.commit(
            Transaction(
                uuid.uuid4().hex,
                conditions=tuple(
                    Condition(INTENT_TABLE, row.key, row.revision)
                    for row in rows
                ),
                writes=tuple(
                    Write(INTENT_TABLE, row.key, None) for row in rows
                ),
            ),
        )
