"""Origins of streams in the table service, which outlives all nodes."""

import random
import uuid
from collections import OrderedDict
from collections.abc import Callable

import msgspec
from loguru import logger
from prometheus_client import Counter

from ladder_clients.table import (
    PartitionedTableClient,
    StoreOutcomeUnknownError,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.supervision import TaskComponent
from ladder_core.timeline import Timeline
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.stream_origins.memory import RETENTION_SECONDS, StreamOrigin
from ladder_node.stream_origins.rows import (
    ORIGINS_PART,
    ORIGINS_TABLE,
    decode_origin,
    is_key,
    make_origin_removal,
    make_origin_write,
)

# Writes in one transaction, below the table's limit of 100 entries.
_MAX_WRITES = 96
_MAX_PENDING = 4096
# Streams that broke off stay here; their rows are removed when they are old.
_MAX_WRITTEN = 10_000
_WRITE_INTERVAL_SECONDS = 0.25
# Transactions a second of all nodes together; more nodes write less often.
_MAX_WRITES_PER_SECOND = 100
_RETRY_SECONDS = 0.5
# The nodes clean at different times, so that one of them removes a row.
_CLEAN_INTERVAL_SECONDS = (300, 900)

_STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)
_rows_counter = Counter(
    'ladder_stream_origin_rows_total',
    'Origins of streams in the table service, by what came of them',
    ('outcome',),
)


class OriginJournal(TaskComponent):
    """
    Keep the origins of the streams in progress in the table service.

    Explanation
    -----------
    Origins are written in batches. A stream that ends before the next batch
    costs no write, and the row of one that ends later is removed.

    Parameters
    ----------
    table : PartitionedTableClient
        Table service that holds the rows.
    count_nodes : callable
        Returns the number of live nodes, which share the rate of writes.
    timers : TimerService
        Clock of the rows and of the writes.
    timeline : Timeline
        Records writes and reads that fail.

    """

    def __init__(
        self,
        table: PartitionedTableClient,
        count_nodes: Callable[[], int],
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        super().__init__()
        self._table = table
        self._count_nodes = count_nodes
        self._timers = timers
        self._timeline = timeline
        self._pending: OrderedDict[str, Write] = OrderedDict()
        self._written: OrderedDict[str, None] = OrderedDict()
        self._cleaning: PeriodicCall | None = None

    async def start(self) -> None:
        """Start to write origins and to clean the table."""
        await super().start()
        seconds = random.uniform(*_CLEAN_INTERVAL_SECONDS)  # noqa: S311
        self._cleaning = self._timers.call_periodically(seconds, self.clean)

    async def close(self) -> None:
        """Write what is pending, once, and stop."""
        if self._cleaning is not None:
            await self._cleaning.close()
            self._cleaning = None
        await super().close()
        await self._write_some()

    def put(self, attempt: str, origin: StreamOrigin) -> None:
        """Write the origin of a stream with the next batch."""
        if not is_key(attempt):
            return
        if len(self._pending) >= _MAX_PENDING:
            _rows_counter.labels('dropped').inc()
            return
        now = self._table.make_timestamp(self._timers)
        self._pending[attempt] = make_origin_write(attempt, origin, now)

    def remove(self, attempt: str) -> None:
        """Remove the origin of a stream that is whole."""
        self._pending.pop(attempt, None)
        if attempt in self._written:
            self._written.pop(attempt)
            self._pending[attempt] = make_origin_removal(attempt)

    async def find(self, attempt: str) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is unknown or not read."""
        if not is_key(attempt):
            return None
        try:
            row = await self._table.read_from_partition(
                ORIGINS_TABLE, ORIGINS_PART, attempt
            )
            known = decode_origin(row) if row else None
        except (StoreUnavailableError, msgspec.DecodeError) as error:
            self._timeline.record(
                'stream-origin-not-read', attempt, error=str(error)
            )
            return None
        return StreamOrigin(known.service, known.software_id) if known else None

    async def clean(self) -> None:
        """Remove the rows of streams that nobody takes up any more."""
        now = self._table.make_timestamp(self._timers)
        try:
            rows = await self._table.scan_partition(ORIGINS_TABLE, ORIGINS_PART)
        except StoreUnavailableError as error:
            logger.info('origins of streams not cleaned: {}', error.message)
            return
        for row in rows:
            try:
                age_seconds = decode_origin(row).find_age_seconds(now)
            except msgspec.DecodeError as error:
                logger.warning(
                    'malformed origin {} removed: {}', row.key, error
                )
                age_seconds = 2 * RETENTION_SECONDS
            if age_seconds > RETENTION_SECONDS:
                self._pending[row.key] = make_origin_removal(row.key)

    async def _run(self) -> None:
        while True:
            is_written = await self._write_some()
            await self._timers.sleep(
                self._find_pause() if is_written else _RETRY_SECONDS
            )

    def _find_pause(self) -> float:
        return max(
            _WRITE_INTERVAL_SECONDS,
            self._count_nodes() / _MAX_WRITES_PER_SECOND,
        )

    async def _write_some(self) -> bool:
        """Write the oldest rows; return False if that failed."""
        batch = dict(list(self._pending.items())[:_MAX_WRITES])
        if not batch:
            return True
        transaction = Transaction(uuid.uuid4().hex, (), tuple(batch.values()))
        # A stream may end during the write, so its row counts as written.
        for attempt, write in batch.items():
            if write.body:
                self._written[attempt] = None
        while len(self._written) > _MAX_WRITTEN:
            self._written.popitem(last=False)
        try:
            await self._table.commit(transaction)
        except _STORE_ERRORS as error:
            _rows_counter.labels('failed').inc(len(batch))
            self._timeline.record(
                'stream-origins-not-written',
                'table',
                rows=len(batch),
                error=error.message,
            )
            return False
        _rows_counter.labels('written').inc(len(batch))
        for attempt, write in batch.items():
            if self._pending.get(attempt) is write:
                self._pending.pop(attempt)
        return True
