"""Find out from the rows of nodes which of them are alive."""

from collections.abc import Sequence
from dataclasses import dataclass

from prometheus_client import Gauge

from ladder_clients.table import Row, report_malformed
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.members.rows import MEMBERS_TABLE, Member, decode_member

# Three heartbeats may be lost or late before a node counts as failed.
_MIN_SILENCE_LIMIT_SECONDS = 3
# Longer limits are those of rows that no node wrote.
_MAX_SILENCE_LIMIT_SECONDS = 60
# Number of pauses without a heartbeat after which a node counts as failed. The
# length of a pause is the one that the node has published.
_MISSED_PAUSES = 2
# Time without a read after which the table counts as having been unavailable.
_MAX_READ_GAP_SECONDS = 1.6
# Time after an outage of the table before the silence of a node counts. Its
# call that was in flight at the end of the outage may last for this time.
_OUTAGE_GRACE_SECONDS = 2
# A node that starts takes a node for gone at once if its row is older than the
# latest one by this time. Rows differ by less right after an outage.
_GONE_ROW_MILLISECONDS = 15_000

_alive_gauge = Gauge('ladder_members_alive', 'Nodes that live')


@dataclass(slots=True)
class Observation:
    """
    What was read of a node.

    Attributes
    ----------
    member : Member
        The node as its row describes it.
    revision : int
        Revision of the row.
    unchanged_since : float
        Time in seconds from which on the row counts as unchanged.

    """

    member: Member
    revision: int
    unchanged_since: float


class MemberObservations:
    """
    Rows of all nodes as this node has read them.

    Parameters
    ----------
    own_name : str
        Name of this node.
    timers : TimerService
        Clock on which the silence of nodes is measured.
    timeline : Timeline
        Records nodes that join or fail.

    Notes
    -----
    A node counts as alive while its row changes. Time in which the table
    can't be read is excluded, since no node could write either.

    """

    def __init__(
        self, own_name: str, timers: TimerService, timeline: Timeline
    ) -> None:
        self._own_name = own_name
        self._timers = timers
        self._timeline = timeline
        self._observations: dict[str, Observation] = {}
        self._alive: frozenset[str] = frozenset()
        self._read_at: float | None = None

    @property
    def alive(self) -> frozenset[str]:
        """Names of the live nodes."""
        return self._alive

    def list_alive(self) -> Sequence[Member]:
        """Return the live nodes, with this one if its row has been read."""
        return [
            observation.member
            for name, observation in self._observations.items()
            if name in self._alive
        ]

    def list_unchanged(self, seconds: float) -> Sequence[Observation]:
        """Return the nodes whose rows have not changed for some time."""
        now = self._timers.now()
        return [
            observation
            for observation in self._observations.values()
            if now - observation.unchanged_since >= seconds
        ]

    def observe(self, rows: Sequence[Row]) -> None:
        """Take over the rows of a complete read of the table."""
        now = self._timers.now()
        is_first_read = self._read_at is None
        if not is_first_read:
            self._exclude_outage(now)
        self._read_at = now
        self._observations = {
            row.key: observation
            for row in rows
            if (observation := self._observe_row(row, now)) is not None
        }
        if is_first_read:
            self._exclude_gone()
        self._record_changes(
            frozenset(
                name
                for name, observation in self._observations.items()
                if now - observation.unchanged_since
                < find_silence_limit(observation.member)
            )
        )

    def _observe_row(self, row: Row, now: float) -> Observation | None:
        """Return the node of a row; None for a malformed one."""
        observation = self._observations.get(row.key)
        if observation is not None and observation.revision == row.revision:
            return observation
        try:
            member = decode_member(row)
        except ValueError as error:
            report_malformed(MEMBERS_TABLE, row.key, error)
            return None
        return Observation(member, row.revision, now)

    def _exclude_outage(self, now: float) -> None:
        """Restart the silence of live nodes if none of them could write."""
        if now - (self._read_at or 0) <= _MAX_READ_GAP_SECONDS:
            return
        for name in self._alive & self._observations.keys():
            self._observations[name].unchanged_since = (
                now + _OUTAGE_GRACE_SECONDS
            )

    def _exclude_gone(self) -> None:
        """Take nodes whose rows are much older than the others for gone."""
        written = {
            name: observation.member.service_wrote_at
            for name, observation in self._observations.items()
            if observation.member.service_wrote_at is not None
            and name != self._own_name
        }
        latest = max(written.values(), default=0)
        for name, wrote_at in written.items():
            if latest - wrote_at > _GONE_ROW_MILLISECONDS:
                observation = self._observations[name]
                observation.unchanged_since -= find_silence_limit(
                    observation.member
                )

    def _record_changes(self, alive: frozenset[str]) -> None:
        for name in sorted(alive - self._alive):
            self._timeline.record('member-alive', name)
        for name in sorted(self._alive - alive):
            self._timeline.record('member-gone', name)
        self._alive = alive
        _alive_gauge.set(len(alive))


def find_silence_limit(member: Member) -> float:
    """Return the seconds without a heartbeat after which a node has failed."""
    limit = _MISSED_PAUSES * member.pause_seconds
    return min(
        max(_MIN_SILENCE_LIMIT_SECONDS, limit), _MAX_SILENCE_LIMIT_SECONDS
    )
