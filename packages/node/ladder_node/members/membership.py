"""Publish the heartbeats of this node, and find out which nodes are alive."""

import uuid
from collections.abc import Sequence

import msgspec
from loguru import logger

from ladder_clients.table import (
    Condition,
    PartitionedTableClient,
    StoreOutcomeUnknownError,
    Transaction,
    Write,
)
from ladder_core.errors import StoreUnavailableError
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.members.observations import (
    MemberObservations,
    find_silence_limit,
)
from ladder_node.members.rows import (
    MEMBERS_PART,
    MEMBERS_TABLE,
    Member,
    make_member_write,
)
from ladder_policy.directory import HostView, prefer_reaching

_STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)
_HEARTBEAT_SECONDS = 0.8
# Largest number of nodes that all write at each heartbeat. With more nodes each
# writes less often, so that the total rate of writes stays the same.
_MAX_FULL_RATE_NODES = 100
# A row that has not changed for this time is removed, since its host is gone.
_ROW_RETENTION_SECONDS = 120
# The pause after a write or a read is at least this many times its duration, up
# to the largest pause.
_CALL_TIME_MULTIPLE = 4
_MAX_PAUSE_SECONDS = 8


class Membership(Component):
    """
    Write the row of this node, and read those of all nodes.

    Parameters
    ----------
    table : PartitionedTableClient
        Table service that holds the rows.
    member : Member
        Description of this node; it gets a new incarnation.
    timers : TimerService
        Clock and schedule of the heartbeats.
    timeline : Timeline
        Records nodes that join, fail or are removed.

    """

    def __init__(
        self,
        table: PartitionedTableClient,
        member: Member,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._table = table
        self._own = msgspec.structs.replace(
            member,
            incarnation=uuid.uuid4().hex,
        )
        self._timers = timers
        self._timeline = timeline
        self._observations = MemberObservations(member.name, timers, timeline)
        self._wrote_at: float | None = None
        self._next_heartbeat_at: float = 0
        self._pause_seconds: float = _HEARTBEAT_SECONDS
        # The pause in the row of this node, by which the others judge it.
        self._known_pause_seconds: float = _HEARTBEAT_SECONDS
        self._next_read_at: float = 0
        self._periodic_call: PeriodicCall | None = None

    @property
    def own(self) -> Member:
        """Current description of this node."""
        return self._own

    @property
    def is_confirmed(self) -> bool:
        """Whether the table has accepted a recent heartbeat of this node."""
        if self._wrote_at is None:
            return False
        limit = find_silence_limit(self._own)
        return self._timers.now() - self._wrote_at < limit

    async def start(self) -> None:
        """Start the heartbeats."""
        self._periodic_call = self._timers.call_periodically(
            _HEARTBEAT_SECONDS, self.send_heartbeat
        )

    async def close(self) -> None:
        """Stop the heartbeats."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    async def leave(self) -> None:
        """Publish that callers are to use other nodes."""
        self._own = msgspec.structs.replace(self._own, is_leaving=True)
        self._next_heartbeat_at = 0
        await self.send_heartbeat()

    def publish_lost_services(self, services: tuple[str, ...]) -> None:
        """Publish the services whose path is lost with the next heartbeat."""
        self._own = msgspec.structs.replace(self._own, lost_services=services)
        self._next_heartbeat_at = 0

    async def send_heartbeat(self) -> None:
        """Write the row of this node and read those of all nodes, when due."""
        now = self._timers.now()
        if now >= self._next_heartbeat_at:
            lost_services = self._own.lost_services
            await self._write_own_row()
            # What was lost during the write is published with the next one.
            if self._own.lost_services == lost_services:
                self._next_heartbeat_at = (
                    now + self._known_pause_seconds - _HEARTBEAT_SECONDS / 2
                )
        started_at = self._timers.now()
        if started_at >= self._next_read_at:
            await self._read_rows(started_at)

    def list_alive(self) -> Sequence[Member]:
        """Return the live nodes, with this one if its row has been read."""
        return self._observations.list_alive()

    def list_accepting(self) -> Sequence[Member]:
        """
        Return the nodes that callers are directed to.

        Explanation
        -----------
        A node that cannot write its row includes itself only if it knows no
        other node, since without the table it can't accept batches. Nodes that
        have lost a path to replicas are left out if the others are enough.

        """
        accepting = [
            member
            for member in self.list_alive()
            if not member.is_leaving and member.name != self._own.name
        ]
        accepts_callers = not self._own.is_leaving
        if accepts_callers and (self.is_confirmed or not accepting):
            accepting.insert(0, self._own)
        chosen = prefer_reaching(
            HostView(member.name, member.capacity, not member.lost_services)
            for member in accepting
        )
        return [member for member in accepting if member.name in chosen]

    def list_peers(self) -> Sequence[str]:
        """Return the peer addresses of the other nodes, the nearest first."""
        others = sorted(
            (
                member
                for member in self.list_alive()
                if member.name != self._own.name
            ),
            key=lambda member: (
                member.data_centre != self._own.data_centre,
                member.region != self._own.region,
                member.name,
            ),
        )
        return [member.peer_address for member in others if member.peer_address]

    async def _write_own_row(self) -> None:
        self._own = msgspec.structs.replace(
            self._own,
            beats=self._own.beats + 1,
            pause_seconds=self._pause_seconds,
            service_wrote_at=self._table.estimate_clock(),
        )
        write = make_member_write(self._own)
        sent = self._timers.now()
        try:
            await self._table.commit(
                Transaction(uuid.uuid4().hex, (), (write,)),
            )
        except _STORE_ERRORS as error:
            logger.debug(
                'heartbeat of this node not written: {}', error.message
            )
            return
        self._wrote_at = sent
        self._known_pause_seconds = self._own.pause_seconds
        # A slow table gets fewer writes, so that writes don't queue up.
        elapsed_seconds = self._timers.now() - sent
        self._pause_seconds = min(
            max(
                _HEARTBEAT_SECONDS
                * _compute_pause_factor(len(self._observations.alive)),
                _CALL_TIME_MULTIPLE * elapsed_seconds,
            ),
            _MAX_PAUSE_SECONDS,
        )

    async def _read_rows(self, started_at: float) -> None:
        try:
            rows = await self._table.scan_partition(MEMBERS_TABLE, MEMBERS_PART)
            self._observations.observe(rows)
            await self._remove_gone()
        except _STORE_ERRORS as error:
            logger.debug('rows of members not read: {}', error.message)
            return
        elapsed_seconds = self._timers.now() - started_at
        self._next_read_at = started_at + min(
            _CALL_TIME_MULTIPLE * elapsed_seconds, _MAX_PAUSE_SECONDS
        )

    async def _remove_gone(self) -> None:
        """Remove rows of hosts that are gone; only the first live node does."""
        if self._own.name != min(self._observations.alive, default=''):
            return
        for observation in self._observations.list_unchanged(
            _ROW_RETENTION_SECONDS
        ):
            name = observation.member.name
            row_key = (MEMBERS_TABLE, name)
            await self._table.commit(
                Transaction(
                    uuid.uuid4().hex,
                    (Condition(*row_key, observation.revision, MEMBERS_PART),),
                    (Write(*row_key, None, MEMBERS_PART),),
                ),
            )
            self._timeline.record('member-forgotten', name)


def _compute_pause_factor(nodes: int) -> float:
    """Return the factor of the pause for a number of nodes."""
    return max(nodes / _MAX_FULL_RATE_NODES, 1)
