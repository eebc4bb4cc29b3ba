"""Insert the intent row of a call before the call is sent."""

import uuid

from ladder_clients.table import (
    Condition,
    Outcome,
    Row,
    TableClient,
    Transaction,
    Write,
)
from ladder_core.errors import MayHaveRunError, StoreUnavailableError
from ladder_core.timers import TimerService
from ladder_node.dispatch.intent import (
    INTENT_TABLE,
    Intent,
    IntentKey,
    IntentState,
    decode_intent,
    encode_intent,
)
from ladder_node.dispatch.intent_writer import IntentWriter

_RETRY_AFTER_SECONDS = 2


class IntentLog:
    """
    Decide which request may send a call with an idempotency key.

    Parameters
    ----------
    table : TableClient
        Client of the table service that stores the rows.
    writer : IntentWriter
        Stores the outcomes of calls.
    timers : TimerService
        Wall clock for the creation times of rows.

    """

    def __init__(
        self,
        table: TableClient,
        writer: IntentWriter,
        timers: TimerService,
    ) -> None:
        self._table = table
        self._writer = writer
        self._timers = timers

    def make_intent(self, fingerprint: str) -> Intent:
        """Return a new open intent with a unique token."""
        now = self._timers.wall_milliseconds()
        return Intent(fingerprint, uuid.uuid4().hex, now)

    async def insert(self, key: IntentKey, intent: Intent) -> Intent:
        """
        Insert an intent row, or find the existing one.

        Parameters
        ----------
        key : IntentKey
            The caller's key in its scope, which determines the row.
        intent : Intent
            Content of the row to insert.

        Returns
        -------
        Intent
            `intent` itself if its row was inserted and the call may be sent;
            otherwise the content of the existing row, and the call must not be
            sent.

        Raises
        ------
        StoreUnavailableError
            The table service did not confirm whether the row was inserted.
            The call must not be sent; the row is released later.

        """
        queued = self._writer.find_queued(key.row_key)
        if queued is not None:
            return queued
        revision = 0
        while True:
            insert = _make_insert(key.row_key, intent, revision)
            outcome = await self._commit(insert)
            if outcome.committed:
                return intent
            row = outcome.conflicts[0]
            if row.revision and not _is_released(row):
                return decode_intent(row.body)
            revision = row.revision

    async def release(self, key: IntentKey, intent: Intent) -> None:
        """
        Release a row whose call certainly did not run, so that a retry can.

        Notes
        -----
        The caller gets its response only afterwards, so that its retry finds
        the row released.

        """
        await self._writer.release(key.row_key, intent.token)

    def store_outcome(self, key: IntentKey, intent: Intent) -> None:
        """Queue the outcome of a call to be stored."""
        self._writer.queue_outcome(key.row_key, intent)

    async def _commit(self, insert: Transaction) -> Outcome:
        try:
            return await self._table.commit(insert)
        except MayHaveRunError:
            return await self._read_back(insert)

    async def _read_back(self, insert: Transaction) -> Outcome:
        try:
            outcome = await self._table.read_outcome(insert.token)
            # Repeating the transaction under its token decides an insertion
            # that is still in flight.
            return outcome or await self._table.commit(insert)
        except (MayHaveRunError, StoreUnavailableError) as error:
            self._writer.revoke(insert)
            raise StoreUnavailableError(
                'the table service does not confirm the idempotency key',
                remedy='send the call again with the same key',
                retry_after=_RETRY_AFTER_SECONDS,
            ) from error


def _is_released(row: Row) -> bool:
    return decode_intent(row.body).state is IntentState.released


def _make_insert(row_key: str, intent: Intent, revision: int) -> Transaction:
    # Each takeover of a released row needs a transaction token of its own.
    return Transaction(
        f'{intent.token}-{revision}',
        conditions=(Condition(INTENT_TABLE, row_key, revision),),
        writes=(Write(INTENT_TABLE, row_key, encode_intent(intent)),),
    )
