"""Share the suspicion states of requests among the nodes."""

import uuid
from collections import OrderedDict

import msgspec
from loguru import logger

from ladder_clients.table import TableClient, Transaction, Write
from ladder_core.errors import MayHaveRunError, StoreUnavailableError
from ladder_core.messages import decode_json
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.dispatch.suspect_registry import (
    REFUSAL_SECONDS,
    SUSPICION_SECONDS,
    MemorySuspectRegistry,
    SuspectRegistry,
    SuspicionState,
)
from ladder_node.peers import Fact, FactKind, Gossip

REFUSED_TABLE = 'refused-requests'

_SYNC_INTERVAL_SECONDS = 30
_BATCH_ROWS = 32
_MAX_PENDING = 1024
_MILLISECONDS_PER_SECOND = 1000
_STORE_ERRORS = (StoreUnavailableError, MayHaveRunError)


class _Refusal(msgspec.Struct, frozen=True):
    """The body of a row that stores a refusal."""

    created_ms: int


class SharedSuspectRegistry(SuspectRegistry, Component):
    """
    Spread states by gossip and store refusals in the table service.

    Explanation
    -----------
    Gossip sends a state to the other nodes at once. Only refusals are stored in
    rows, a durable copy for nodes that start later. All nodes read the rows
    periodically and delete the expired ones.

    Parameters
    ----------
    table : TableClient
        Client of the table service that stores refusals.
    gossip : Gossip
        Spreads states to the other nodes and receives theirs.
    timers : TimerService
        Schedules the synchronisation and supplies the clocks for expiry.

    """

    def __init__(
        self,
        table: TableClient,
        gossip: Gossip,
        timers: TimerService,
    ) -> None:
        self._table = table
        self._gossip = gossip
        self._timers = timers
        self._memory = MemorySuspectRegistry(timers)
        self._pending: OrderedDict[str, str | None] = OrderedDict()
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Subscribe to gossip, and read the rows now and periodically."""
        self._gossip.subscribe(FactKind.suspect, self._apply_fact)
        await self.sync()
        self._periodic_call = self._timers.call_periodically(
            _SYNC_INTERVAL_SECONDS, self.sync
        )

    async def close(self) -> None:
        """Stop, after one more attempt to write the queued rows."""
        if self._periodic_call is None:
            return
        await self._periodic_call.close()
        self._periodic_call = None
        await self.sync()

    def read(self, digest: str) -> SuspicionState:
        """Return the state of a request as far as this node knows."""
        return self._memory.read(digest)

    def write(self, digest: str, state: SuspicionState) -> None:
        """Set the state of a request, here and on the other nodes."""
        self._memory.write(digest, state)
        self._gossip.publish(
            Fact(
                FactKind.suspect,
                digest,
                SUSPICION_SECONDS,
                state.encode(),
            ),
        )
        if state is SuspicionState.refused:
            now = self._timers.wall_milliseconds()
            body = msgspec.json.encode(_Refusal(now)).decode()
            self._queue(digest, body)

    async def sync(self) -> None:
        """Write the queued rows and read the rows of all nodes."""
        try:
            await self._sync()
        except _STORE_ERRORS as error:
            logger.warning(
                'refusals not synchronised with the table: {}', error
            )

    def _apply_fact(self, fact: Fact) -> None:
        self._memory.write(fact.key, SuspicionState(fact.body.decode()))

    def _queue(self, digest: str, body: str | None) -> None:
        if len(self._pending) < _MAX_PENDING:
            self._pending[digest] = body

    async def _sync(self) -> None:
        await self._write_rows()
        oldest_kept_ms = self._timers.wall_milliseconds()
        oldest_kept_ms -= REFUSAL_SECONDS * _MILLISECONDS_PER_SECOND
        for row in await self._table.scan(REFUSED_TABLE):
            refusal = decode_json(row.body, _Refusal)
            if refusal.created_ms < oldest_kept_ms:
                self._queue(row.key, None)
            else:
                self._memory.write(row.key, SuspicionState.refused)

    async def _write_rows(self) -> None:
        batch = dict(list(self._pending.items())[:_BATCH_ROWS])
        if not batch:
            return
        writes = tuple(
            Write(REFUSED_TABLE, digest, body) for digest, body in batch.items()
        )
        await self._table.commit(Transaction(uuid.uuid4().hex, writes=writes))
        for digest in batch:
            self._pending.pop(digest, None)
