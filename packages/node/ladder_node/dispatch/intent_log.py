"""Insert the intent row of a keyed call before the call is sent."""

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

_RETRY_SECONDS = 2


class IntentLog:
    """
    Decide who may send a keyed call.

    Parameters
    ----------
    table : TableClient
        The table service.
    writer : IntentWriter
        Stores what becomes of the calls.
    timers : TimerService
        Source of the rows' creation times.

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
        """Return a new open intent with a token of its own."""
        now = self._timers.wall_milliseconds()
        return Intent(fingerprint, uuid.uuid4().hex, now)

    async def insert(self, key: IntentKey, intent: Intent) -> Intent:
        """
        Insert a row, or find the one that exists.

        Parameters
        ----------
        key : IntentKey
            The caller's key in its scope.
        intent : Intent
            The row to insert.

        Returns
        -------
        Intent
            `intent` itself if its row was inserted and the call may be
            sent; otherwise the existing row, whose call must not be sent.

        Raises
        ------
        StoreUnavailableError
            The table service does not tell whether the row was inserted; the
            call must not be sent, and the row is removed later.

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
        Let a retry run, since the call certainly did not.

        Notes
        -----
        The caller is answered after it, so that its retry finds the row
        released.

        """
        await self._writer.release(key.row_key, intent.token)

    def store_outcome(self, key: IntentKey, intent: Intent) -> None:
        """Queue what became of a call."""
        self._writer.queue_outcome(key.row_key, intent)

    async def _commit(self, insert: Transaction) -> Outcome:
        try:
            return await self._table.commit(insert)
        except MayHaveRunError:
            return await self._read_back(insert)

    async def _read_back(self, insert: Transaction) -> Outcome:
        try:
            outcome = await self._table.read_outcome(insert.token)
            # The same token again decides an insertion still on its way.
            return outcome or await self._table.commit(insert)
        except (MayHaveRunError, StoreUnavailableError) as error:
            self._writer.revoke(insert)
            raise StoreUnavailableError(
                'the table service does not confirm the idempotency key',
                remedy='send the call again with the same key',
                retry_after=_RETRY_SECONDS,
            ) from error


def _is_released(row: Row) -> bool:
    return decode_intent(row.body).state is IntentState.released


def _make_insert(row_key: str, intent: Intent, revision: int) -> Transaction:
    # Each takeover of a released row is a transaction of its own.
    return Transaction(
        f'{intent.token}-{revision}',
        conditions=(Condition(INTENT_TABLE, row_key, revision),),
        writes=(Write(INTENT_TABLE, row_key, encode_intent(intent)),),
    )
