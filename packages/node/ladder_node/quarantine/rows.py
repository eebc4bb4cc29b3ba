"""Share the evidence of crashes with the other nodes through the table."""

import random
import uuid
from collections.abc import Sequence

import msgspec
from loguru import logger

from ladder_clients.table import (
    Condition,
    PartitionedTableClient,
    Row,
    StoreOutcomeUnknownError,
    Timestamp,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.messages import decode_json
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.feeds import FeedListener
from ladder_node.quarantine.peers import EvidenceRow
from ladder_node.quarantine.verdicts import RequestVerdicts
from ladder_node.quarantine.writer import CRASHES_TABLE, EvidenceWriter
from ladder_policy.quarantine import Evidence

_CRASH = 'crash'
_TRIAL = 'trial'
_STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)
# Age at which a row is removed if its request is no longer known.
_MAX_ORPHAN_SECONDS = 1200
# The nodes clean at different times, so that one of them removes a row.
_CLEAN_INTERVAL_SECONDS = (300, 900)
_MAX_EVIDENCE_SECONDS = 86_400


class _Evidence(msgspec.Struct, frozen=True):
    """
    The body of a row.

    Attributes
    ----------
    node : str
        Node that observed the crash, or that made the trial.
    at : int
        Milliseconds since the Unix epoch, by the clock of that node.
    service_at : int or None
        Milliseconds by the clock of the table service; None in rows of nodes
        that did not know it.

    """

    node: str
    at: int
    service_at: int | None = None


class CrashRows(FeedListener, Component):
    """
    Publish the evidence of this node, and apply that of the other nodes.

    Explanation
    -----------
    Each crash under a request is a row of its own, so that nodes write without
    reading first, and a repeated write changes nothing. Each trial is a row
    that is created only if it does not exist, so that one node makes a trial.

    Parameters
    ----------
    table : PartitionedTableClient
        Table service that holds the rows.
    verdicts : RequestVerdicts
        Receives the evidence.
    writer : EvidenceWriter
        Writes the rows of this node.
    node : str
        Name of this node.
    timers : TimerService
        Clock of the rows, and schedule of the cleaning.

    """

    def __init__(
        self,
        table: PartitionedTableClient,
        verdicts: RequestVerdicts,
        writer: EvidenceWriter,
        node: str,
        timers: TimerService,
    ) -> None:
        self._table = table
        self._verdicts = verdicts
        self._writer = writer
        self._node = node
        self._timers = timers
        self._known: set[str] = set()
        self._cleaning: PeriodicCall | None = None

    async def start(self) -> None:
        """Start to clean the table."""
        seconds = random.uniform(*_CLEAN_INTERVAL_SECONDS)  # noqa: S311
        self._cleaning = self._timers.call_periodically(seconds, self.clean)

    async def close(self) -> None:
        """Stop to clean the table."""
        if self._cleaning is not None:
            await self._cleaning.close()
            self._cleaning = None

    def replace(self, rows: Sequence[Row], outage_seconds: float) -> None:
        """Apply a full read of the table; other evidence is withdrawn."""
        keys = {row.key for row in rows}
        for key in self._known - keys:
            if not self._writer.is_pending(key):
                self._withdraw(key)
        self.change(rows, ())

    def change(self, rows: Sequence[Row], removed: Sequence[Row]) -> None:
        """Apply rows that other nodes wrote or removed."""
        for row in rows:
            if self._apply(row.key, row.body):
                self._known.add(row.key)
        for row in removed:
            self._withdraw(row.key)

    def receive(self, rows: Sequence[EvidenceRow]) -> None:
        """Apply rows that another node could not write to the table."""
        for row in rows:
            if row.body is None:
                self._withdraw(row.key)
            else:
                self._apply(row.key, row.body)

    def publish_crash(self, digest: str, process: str) -> None:
        """Write a crash that this node has observed, as soon as possible."""
        self._writer.queue(f'{digest}/{_CRASH}/{process}', self._make_body())

    def withdraw(self, digest: str, evidence: Evidence) -> None:
        """Remove the rows of a request, as soon as possible."""
        for process in evidence.crashes:
            self._writer.queue(f'{digest}/{_CRASH}/{process}', None)
        for number in evidence.trials:
            self._writer.queue(f'{digest}/{_TRIAL}/{number}', None)

    def void_trial(self, digest: str, number: int) -> None:
        """Withdraw a trial without an outcome, so that it can be made again."""
        self._verdicts.remove_trial(digest, number)
        self._writer.queue(f'{digest}/{_TRIAL}/{number}', None)

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
        self._verdicts.drop_expired()
        try:
            rows = await self._table.scan(CRASHES_TABLE)
        except _STORE_ERRORS as error:
            logger.info('rows of crashes not cleaned: {}', error)
            return
        for row in rows:
            digest = row.key.partition('/')[0]
            if digest not in self._verdicts and self._is_old(row):
                self._writer.queue(row.key, None)

    def _apply(self, key: str, body: str) -> bool:
        """Add a row to the evidence; return whether it is well-formed."""
        try:
            evidence = decode_json(body, _Evidence)
            digest, kind, name = _split_key(key)
        except (msgspec.DecodeError, ValueError) as error:
            logger.warning('malformed row {} ignored: {}', key, error)
            return False
        age_seconds = self._find_age(evidence)
        if self._writer.is_removing(key):
            return True
        if kind == _TRIAL:
            self._verdicts.add_trial(digest, int(name), age_seconds)
        else:
            self._verdicts.add_crash(digest, name, age_seconds, evidence.node)
        return True

    def _withdraw(self, key: str) -> None:
        self._known.discard(key)
        try:
            digest, kind, name = _split_key(key)
        except ValueError as error:
            logger.warning('malformed row {} ignored: {}', key, error)
            return
        if kind == _TRIAL:
            self._verdicts.remove_trial(digest, int(name))
        else:
            self._verdicts.remove_crash(digest, name, 'table')

    def _is_old(self, row: Row) -> bool:
        """Return whether a row is old; a malformed one counts as old."""
        try:
            evidence = decode_json(row.body, _Evidence)
        except msgspec.DecodeError:
            return True
        return self._find_age(evidence) > _MAX_ORPHAN_SECONDS

    def _find_age(self, evidence: _Evidence) -> float:
        """Return the age of a row in seconds."""
        made = Timestamp(evidence.at, evidence.service_at)
        now = self._table.make_timestamp(self._timers)
        return min(made.find_age_seconds(now), _MAX_EVIDENCE_SECONDS)

    def _make_body(self) -> str:
        now = self._table.make_timestamp(self._timers)
        evidence = _Evidence(self._node, now.wall, now.service)
        return msgspec.json.encode(evidence).decode()


def _split_key(key: str) -> tuple[str, str, str]:
    """Return the digest, the kind and the name of the crash or trial."""
    digest, kind, name = key.split('/', 2)
    if kind == _TRIAL:
        int(name)
    return digest, kind, name
