"""Writing of rows of evidence, with the peers as a second path."""

import asyncio
import uuid
from collections import OrderedDict
from collections.abc import Mapping

from loguru import logger
from prometheus_client import Counter

from ladder_clients.table import (
    StoreOutcomeUnknownError,
    TableClient,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.supervision import TaskComponent
from ladder_core.timers import TimerService
from ladder_node.quarantine.peers import EvidenceRow, EvidenceSender

CRASHES_TABLE = 'request_crashes'

# Writes in one transaction, below the table's limit of 100 entries.
_MAX_WRITES = 64
_MAX_PENDING = 2048
# The partition of the table also carries the heartbeats of the platform.
_WRITE_INTERVAL_SECONDS = 0.1
_RETRY_SECONDS = 0.5
# Time after which rows that the table has not confirmed are sent to the peers.
_CONFIRMATION_SECONDS = 0.3

_dropped_counter = Counter(
    'ladder_crash_rows_dropped_total',
    'Rows of evidence that were not written because too many waited',
)


class EvidenceWriter(TaskComponent):
    """
    Write rows to the table, at a bounded rate and until they are confirmed.

    Explanation
    -----------
    Rows that the table does not confirm soon are also sent to the other nodes,
    once, so that they learn of crashes during an outage of the table.

    Parameters
    ----------
    table : TableClient
        Table service that holds the rows.
    sender : EvidenceSender
        Sends rows to the other nodes.
    timers : TimerService
        Pauses between writes and before retries.

    """

    def __init__(
        self,
        table: TableClient,
        sender: EvidenceSender,
        timers: TimerService,
    ) -> None:
        super().__init__()
        self._table = table
        self._sender = sender
        self._timers = timers
        self._pending: OrderedDict[str, str | None] = OrderedDict()
        self._announced: dict[str, str | None] = {}
        self._is_overflowing = False
        self._wake = asyncio.Event()

    def queue(self, key: str, body: str | None) -> None:
        """
        Write a row as soon as possible.

        Parameters
        ----------
        key : str
            Key of the row.
        body : str or None
            Content of the row; None to remove it.

        """
        if key not in self._pending and len(self._pending) >= _MAX_PENDING:
            _dropped_counter.inc()
            if not self._is_overflowing:
                self._is_overflowing = True
                logger.warning('rows of crashes dropped: too many wait')
            return
        self._pending[key] = body
        self._wake.set()

    def is_pending(self, key: str) -> bool:
        """Return whether a row waits to be written or removed."""
        return key in self._pending

    def is_removing(self, key: str) -> bool:
        """Return whether a row waits to be removed."""
        return key in self._pending and self._pending[key] is None

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                await self._write_logged()
                await self._timers.sleep(_WRITE_INTERVAL_SECONDS)
            self._is_overflowing = False

    async def _write_logged(self) -> None:
        try:
            await self._write_some()
        except Exception:
            logger.exception('rows of crashes not written; they are kept')
            await self._timers.sleep(_RETRY_SECONDS)

    async def _write_some(self) -> None:
        rows = dict(list(self._pending.items())[:_MAX_WRITES])
        async with asyncio.TaskGroup() as group:
            announcing = group.create_task(self._announce_late(rows))
            is_written = await self._commit(rows)
            if is_written:
                announcing.cancel()
            else:
                await self._announce(rows)
        if not is_written:
            await self._timers.sleep(_RETRY_SECONDS)
            return
        for key, body in rows.items():
            # A row that was queued again meanwhile has another body.
            if self._pending.get(key) == body:
                self._pending.pop(key, None)
                self._announced.pop(key, None)

    async def _commit(self, rows: Mapping[str, str | None]) -> bool:
        writes = tuple(
            Write(CRASHES_TABLE, key, body) for key, body in rows.items()
        )
        try:
            await self._table.commit(Transaction(uuid.uuid4().hex, (), writes))
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            logger.info('{} rows of crashes not written: {}', len(rows), error)
            return False
        return True

    async def _announce_late(self, rows: Mapping[str, str | None]) -> None:
        await self._timers.sleep(_CONFIRMATION_SECONDS)
        await self._announce(rows)

    async def _announce(self, rows: Mapping[str, str | None]) -> None:
        """Send rows to the peers that have not been sent before."""
        unsent = [
            EvidenceRow(key, body)
            for key, body in rows.items()
            if self._announced.get(key, '') != body
        ]
        if unsent:
            self._announced.update((row.key, row.body) for row in unsent)
            await self._sender.send(unsent)
