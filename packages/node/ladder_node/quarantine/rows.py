"""Share the evidence of crashes with the other nodes through the table."""

import asyncio
import contextlib
import random
import uuid
from collections import OrderedDict
from collections.abc import Sequence

import msgspec
from loguru import logger
from prometheus_client import Counter

from ladder_clients.table import (
    Condition,
    PartitionedTableClient,
    Row,
    StoreOutcomeUnknownError,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.feeds import FeedListener
from ladder_node.quarantine.beliefs import RequestBeliefs
from ladder_policy.quarantine import Evidence

CRASHES_TABLE = 'request_crashes'

_CRASH = 'crash'
_TRIAL = 'trial'
_STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)
_MILLISECONDS_PER_SECOND = 1000
# Writes in one transaction, below the table's limit of 100 entries.
_MAX_WRITES = 64
_MAX_PENDING = 2048
# The partition of the table also carries the heartbeats of the platform.
_WRITE_INTERVAL_SECONDS = 0.1
_RETRY_SECONDS = 0.5
# Age at which a row is removed if its request is no longer known.
_MAX_ORPHAN_SECONDS = 1200
# The nodes clean at different times, so that one of them removes a row.
_CLEAN_INTERVAL_SECONDS = (300, 900)
_MAX_EVIDENCE_SECONDS = 86_400

_dropped_counter = Counter(
    'ladder_crash_rows_dropped_total',
    'Rows of evidence that were not written because too many waited',
)


class _Evidence(msgspec.Struct, frozen=True):
    """
    The body of a row.

    Attributes
    ----------
    node : str
        Node that observed the crash, or that made the trial.
    at : int
        Milliseconds since the Unix epoch, by the clock of that node.

    """

    node: str
    at: int


class CrashRows(FeedListener, Component):
    """
    Write the evidence of this node, and pass on that of the other nodes.

    Explanation
    -----------
    Each crash under a request is a row of its own, so that nodes never write
    the same row with different contents, and a repeated write changes nothing.
    Each trial is a row that is created only if it does not exist, so that one
    node makes a trial. Writes wait while the table is unavailable.

    Parameters
    ----------
    table : PartitionedTableClient
        Table service that holds the rows.
    beliefs : RequestBeliefs
        Receives the evidence.
    node : str
        Name of this node.
    timers : TimerService
        Clock of the rows, and pauses before retries.

    """

    def __init__(
        self,
        table: PartitionedTableClient,
        beliefs: RequestBeliefs,
        node: str,
        timers: TimerService,
    ) -> None:
        self._table = table
        self._beliefs = beliefs
        self._node = node
        self._timers = timers
        self._known: set[str] = set()
        self._pending: OrderedDict[str, str | None] = OrderedDict()
        self._is_overflowing = False
        self._wake = asyncio.Event()
        self._writer: asyncio.Task[None] | None = None
        self._cleaning: PeriodicCall | None = None

    async def start(self) -> None:
        """Start to write rows and to clean the table."""
        self._writer = asyncio.create_task(self._write())
        seconds = random.uniform(*_CLEAN_INTERVAL_SECONDS)  # noqa: S311
        self._cleaning = self._timers.call_periodically(seconds, self.clean)

    async def close(self) -> None:
        """Stop; rows that were not written are lost."""
        if self._cleaning is not None:
            await self._cleaning.close()
            self._cleaning = None
        if self._writer is not None:
            self._writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._writer
            self._writer = None

    def replace(self, rows: Sequence[Row], outage_seconds: float) -> None:
        """Apply a full read of the table; other evidence is withdrawn."""
        keys = {row.key for row in rows}
        for key in self._known - keys - set(self._pending):
            self._withdraw(key)
        self.change(rows, ())

    def change(self, rows: Sequence[Row], removed: Sequence[Row]) -> None:
        """Apply rows that other nodes wrote or removed."""
        for row in rows:
            try:
                self._apply(row)
            except (msgspec.DecodeError, ValueError) as error:
                logger.warning('malformed row {} ignored: {}', row.key, error)
        for row in removed:
            self._withdraw(row.key)

    def publish_crash(self, digest: str, process: str) -> None:
        """Write a crash that this node has observed, as soon as possible."""
        self._queue(f'{digest}/{_CRASH}/{process}', self._make_body())

    def withdraw(self, digest: str, evidence: Evidence) -> None:
        """Remove the rows of a request, as soon as possible."""
        for process in evidence.crashes:
            self._queue(f'{digest}/{_CRASH}/{process}', None)
        for number in evidence.trials:
            self._queue(f'{digest}/{_TRIAL}/{number}', None)

    async def claim_trial(self, digest: str, number: int) -> bool:
        """
        Create the row of a trial.

        Returns
        -------
        bool
            Whether this node may make the trial; false if another node has
            the trial, or if the table does not confirm the row.

        """
        key = f'{digest}/{_TRIAL}/{number}'
        transaction = Transaction(
            uuid.uuid4().hex,
            (Condition(CRASHES_TABLE, key, 0),),
            (Write(CRASHES_TABLE, key, self._make_body()),),
        )
        try:
            outcome = await self._table.commit(transaction)
        except _STORE_ERRORS as error:
            logger.info('trial of request {} not claimed: {}', digest, error)
            return False
        self.change(outcome.conflicts, ())
        return outcome.committed

    async def clean(self) -> None:
        """Remove the rows that are old and belong to no known request."""
        self._beliefs.drop_expired()
        try:
            rows = await self._table.scan(CRASHES_TABLE)
        except _STORE_ERRORS as error:
            logger.info('rows of crashes not cleaned: {}', error)
            return
        for row in rows:
            digest = row.key.partition('/')[0]
            age_seconds = self._find_age(_decode(row))
            if (
                digest not in self._beliefs
                and age_seconds > _MAX_ORPHAN_SECONDS
            ):
                self._queue(row.key, None)

    def _apply(self, row: Row) -> None:
        if row.key in self._pending and self._pending[row.key] is None:
            return
        digest, kind, name = row.key.split('/', 2)
        evidence = _decode(row)
        age_seconds = self._find_age(evidence)
        self._known.add(row.key)
        if kind == _TRIAL:
            self._beliefs.add_trial(digest, int(name), age_seconds)
        else:
            self._beliefs.add_crash(digest, name, age_seconds, evidence.node)

    def _withdraw(self, key: str) -> None:
        self._known.discard(key)
        digest, kind, name = key.split('/', 2)
        if kind == _TRIAL:
            self._beliefs.remove_trial(digest, int(name))
        else:
            self._beliefs.remove_crash(digest, name, 'table')

    def _find_age(self, evidence: _Evidence) -> float:
        """Return the age of a row in seconds, whatever the clocks say."""
        age_milliseconds = self._timers.wall_milliseconds() - evidence.at
        age_seconds = age_milliseconds / _MILLISECONDS_PER_SECOND
        return min(max(age_seconds, 0), _MAX_EVIDENCE_SECONDS)

    def _make_body(self) -> str:
        evidence = _Evidence(self._node, self._timers.wall_milliseconds())
        return msgspec.json.encode(evidence).decode()

    def _queue(self, key: str, body: str | None) -> None:
        if key not in self._pending and len(self._pending) >= _MAX_PENDING:
            _dropped_counter.inc()
            if not self._is_overflowing:
                self._is_overflowing = True
                logger.warning('rows of crashes dropped: too many wait')
            return
        self._pending[key] = body
        self._wake.set()

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                await self._write_some()
                await self._timers.sleep(_WRITE_INTERVAL_SECONDS)
            self._is_overflowing = False

    async def _write_some(self) -> None:
        rows = dict(list(self._pending.items())[:_MAX_WRITES])
        writes = tuple(
            Write(CRASHES_TABLE, key, body) for key, body in rows.items()
        )
        try:
            await self._table.commit(Transaction(uuid.uuid4().hex, (), writes))
        except _STORE_ERRORS as error:
            logger.info('{} rows of crashes not written: {}', len(rows), error)
            await self._timers.sleep(_RETRY_SECONDS)
            return
        for key, body in rows.items():
            # A row that was queued again meanwhile has another body.
            if self._pending.get(key) == body:
                self._pending.pop(key, None)


def _decode(row: Row) -> _Evidence:
    return msgspec.json.decode(row.body, type=_Evidence)
