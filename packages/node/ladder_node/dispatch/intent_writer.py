"""Store outcomes of calls in batches, after the callers have responses."""

import uuid
from collections import OrderedDict
from itertools import islice

import msgspec
from loguru import logger
from prometheus_client import Counter

from ladder_clients.table import Condition, TableClient, Transaction, Write
from ladder_core.errors import MayHaveRunError, StoreUnavailableError
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.dispatch.intent import (
    INTENT_TABLE,
    Intent,
    IntentState,
    decode_intent,
    encode_intent,
)

_FLUSH_INTERVAL_SECONDS = 0.1
_BATCH_ROWS = 32
_MAX_QUEUED_ROWS = 2048
_STORE_ERRORS = (StoreUnavailableError, MayHaveRunError)

_DROPPED = Counter(
    'ladder_intent_rows_dropped',
    'Outcomes of keyed calls that were not stored because the queue was full',
)


class IntentWriter(Component):
    """
    Queue the outcomes of calls until the table service stores them.

    Parameters
    ----------
    table : TableClient
        Client of the table service that stores the rows.
    timers : TimerService
        Schedules the periodic writes.

    Notes
    -----
    The queue is bounded. An outcome that does not fit is dropped. Its row stays
    open, and a retry is told that the call may have run.

    """

    def __init__(self, table: TableClient, timers: TimerService) -> None:
        self._table = table
        self._timers = timers
        self._outcomes: OrderedDict[str, Intent] = OrderedDict()
        self._releases: OrderedDict[str, str] = OrderedDict()
        self._inserts: OrderedDict[str, Transaction] = OrderedDict()
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Start to write periodically."""
        self._periodic_call = self._timers.call_periodically(
            _FLUSH_INTERVAL_SECONDS,
            self.flush,
        )

    async def close(self) -> None:
        """Stop, after one more attempt to write a batch."""
        if self._periodic_call is None:
            return
        await self._periodic_call.close()
        self._periodic_call = None
        await self.flush()

    def queue_outcome(self, row_key: str, intent: Intent) -> None:
        """
        Queue the outcome of a call that was sent.

        Parameters
        ----------
        row_key : str
            Key of the row, which this node has inserted.
        intent : Intent
            New content of the row.

        """
        if len(self._outcomes) < _MAX_QUEUED_ROWS:
            self._outcomes[row_key] = intent
        else:
            _DROPPED.inc()

    def find_queued(self, row_key: str) -> Intent | None:
        """Return the queued content of a row not yet written, or None."""
        return self._outcomes.get(row_key)

    def revoke(self, insert: Transaction) -> None:
        """
        Undo an insertion whose outcome is unknown; its call was not sent.

        Parameters
        ----------
        insert : Transaction
            The insertion. It is committed again under its token, which
            determines its outcome; if it has taken effect, its row is
            released.

        """
        if len(self._inserts) < _MAX_QUEUED_ROWS:
            self._inserts[insert.token] = insert
        else:
            _DROPPED.inc()

    async def release(self, row_key: str, token: str) -> None:
        """
        Release a row whose call certainly did not run, so that a retry can.

        Parameters
        ----------
        row_key : str
            Key of the row to release.
        token : str
            Token of the attempt that inserted the row; a row of another
            attempt is left as it is.

        Notes
        -----
        The release is queued if the table service does not answer.

        """
        try:
            await self._release(row_key, token)
        except _STORE_ERRORS as error:
            logger.warning('intent row not released, retry queued: {}', error)
            if len(self._releases) < _MAX_QUEUED_ROWS:
                self._releases[row_key] = token

    async def flush(self) -> None:
        """Write one batch; rows that are not written stay queued."""
        try:
            await self._flush()
        except _STORE_ERRORS as error:
            logger.warning('intent rows not written, still queued: {}', error)

    async def _flush(self) -> None:
        for insert in tuple(self._inserts.values())[:_BATCH_ROWS]:
            outcome = await self._table.commit(insert)
            if outcome.committed:
                self._queue_release(insert)
            self._inserts.pop(insert.token, None)
        for row_key, token in tuple(self._releases.items())[:_BATCH_ROWS]:
            await self._release(row_key, token)
            self._releases.pop(row_key, None)
        await self._write_outcomes()

    def _queue_release(self, insert: Transaction) -> None:
        write = insert.writes[0]
        token = decode_intent(write.body or '').token
        self._releases[write.key] = token

    async def _release(self, row_key: str, token: str) -> None:
        row = await self._table.read(INTENT_TABLE, row_key)
        if row is None:
            return
        intent = decode_intent(row.body)
        if intent.token != token or intent.state is not IntentState.open:
            return
        released = msgspec.structs.replace(intent, state=IntentState.released)
        # The condition prevents a delayed write from releasing the row after
        # another attempt has taken it over.
        await self._table.commit(
            Transaction(
                uuid.uuid4().hex,
                conditions=(Condition(INTENT_TABLE, row_key, row.revision),),
                writes=(Write(INTENT_TABLE, row_key, encode_intent(released)),),
            ),
        )

    async def _write_outcomes(self) -> None:
        batch = dict(islice(self._outcomes.items(), _BATCH_ROWS))
        if not batch:
            return
        writes = tuple(
            Write(INTENT_TABLE, row_key, encode_intent(intent))
            for row_key, intent in batch.items()
        )
        await self._table.commit(
            Transaction(uuid.uuid4().hex, writes=writes),
        )
        for row_key in batch:
            self._outcomes.pop(row_key, None)
