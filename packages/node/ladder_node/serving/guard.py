"""Connections of clients, and which of them are closed."""

from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum, auto
from types import MappingProxyType

from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import PeriodicCall, TimerService
from ladder_core.values import CallerLimits
from ladder_node.serving.budget import ByteBudget, HostLimits
from ladder_node.serving.metrics import CLIENT_CONNECTIONS
from ladder_node.serving.parse_queue import ParseQueue
from ladder_node.serving.rejections import Reason, RejectionLog

_SWEEP_SECONDS = 0.5
_LOG_SECONDS = 1
# Added to the time-out of heads, for a process that is slow itself.
_HEAD_MARGIN_SECONDS = 1
# Bytes that a body or a response has to move on in each idle time-out.
_MIN_PROGRESS_BYTES = 4096
# A connection without progress for this time may be closed if others need what
# it holds.
_STALLED_SECONDS = 1
# Connections to the platform's addresses beyond the limit of callers.
_RESERVED_CONNECTIONS = 4


class Phase(StrEnum):
    """
    What a connection waits for.

    Attributes
    ----------
    idle
        The start of a request.
    head, body
        The rest of a head or of a body.
    parsing
        Its turn to have received bytes parsed.
    running
        The application.
    discarding
        The rest of a body that is not used.
    writing
        The client, which has to read.

    """

    idle = auto()
    head = auto()
    body = auto()
    parsing = auto()
    running = auto()
    discarding = auto()
    writing = auto()


class ClientConnection(ABC):
    """A connection of a client."""

    @property
    @abstractmethod
    def address(self) -> str:
        """Address of the client, without its port."""

    @property
    @abstractmethod
    def phase(self) -> Phase:
        """What the connection waits for."""

    @property
    @abstractmethod
    def progress(self) -> int:
        """Bytes that were received and sent so far."""

    @property
    @abstractmethod
    def requests(self) -> int:
        """Number of requests so far."""

    @property
    @abstractmethod
    def held_bytes(self) -> int:
        """Bytes that are held for the request in progress."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection at once; unsent and unread bytes are lost."""


_SLOWNESS = MappingProxyType(
    {
        Phase.body: Reason.body_progress,
        Phase.writing: Reason.read_progress,
    },
)


@dataclass(slots=True)
class _Watch:
    """
    What was last seen of a connection.

    Attributes
    ----------
    phase : Phase
        Its phase.
    requests : int
        Number of requests so far.
    since : float
        Start of the phase, or of its present time-out.
    mark : int
        Progress at that time.
    progress : int
        Progress when it was looked at last.
    moved_at : float
        Time at which it had made progress.

    """

    phase: Phase
    requests: int
    since: float
    mark: int
    progress: int
    moved_at: float


class ClientGuard(Component):
    """
    Watch the connections of clients to all servers of a process.

    Explanation
    -----------
    Connections that make no progress are closed at time-outs. If connections
    or bytes run short, those that are stalled longest go first, then those
    that are idle longest; of equal ones, those of the address with the most
    connections. Time in which the process itself did not run does not count.

    Parameters
    ----------
    limits : HostLimits
        Limits of the host.
    timers : TimerService
        Runs the periodic check.
    timeline : Timeline
        Records what is rejected and closed.

    Attributes
    ----------
    budget : ByteBudget
        Counts the bytes that are held.
    rejections : RejectionLog
        Counts what is rejected and closed.
    parse_queue : ParseQueue
        Parses what costs much time, in turns.
    callers : CallerLimits
        Limits of the configuration in force.

    """

    def __init__(
        self, limits: HostLimits, timers: TimerService, timeline: Timeline
    ) -> None:
        self.budget = ByteBudget(limits.budget_bytes)
        self.rejections = RejectionLog(timeline)
        self.parse_queue = ParseQueue()
        self.callers = CallerLimits()
        self._max_connections = limits.max_connections
        self._timers = timers
        self._watches: dict[ClientConnection, _Watch] = {}
        self._addresses: Counter[str] = Counter()
        self._clock: float = 0
        self._swept_at = timers.now()
        self._logged_at = self._swept_at
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Start the periodic check."""
        self._swept_at = self._timers.now()
        self._periodic_call = self._timers.call_periodically(
            _SWEEP_SECONDS, self._sweep
        )

    async def close(self) -> None:
        """Stop the periodic check."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    def add(self, connection: ClientConnection, *, is_reserved: bool) -> None:
        """
        Watch a new connection; close another if there are too many.

        Parameters
        ----------
        connection : ClientConnection
            The new connection.
        is_reserved : bool
            Whether it may use the reserve of the platform's addresses.

        """
        limit = self._max_connections
        if is_reserved:
            limit += _RESERVED_CONNECTIONS
        while len(self._watches) >= limit:
            victim = self._find_victim(is_idle_allowed=True) or connection
            self._close(victim, Reason.connections)
            if victim is connection:
                return
        self._addresses[connection.address] += 1
        self._watches[connection] = _Watch(
            Phase.idle, 0, self._clock, 0, 0, self._clock
        )

    async def sleep(self, seconds: float) -> None:
        """Wait until others may have released what they hold."""
        await self._timers.sleep(seconds)

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply the limits of a configuration, also to open connections."""
        self.callers = limits

    def discard(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""
        if self._watches.pop(connection, None) is None:
            return
        self._addresses[connection.address] -= 1
        if not self._addresses[connection.address]:
            self._addresses.pop(connection.address)

    def relieve(self) -> bool:
        """Close the longest stalled connection that holds bytes, if any."""
        victim = self._find_victim(is_idle_allowed=False)
        if victim is None:
            return False
        self._close(victim, Reason.pressure)
        return True

    def _close(self, connection: ClientConnection, reason: Reason) -> None:
        self.rejections.add(reason, connection.address)
        self.discard(connection)
        connection.abort()

    def _find_victim(self, *, is_idle_allowed: bool) -> ClientConnection | None:
        ranks = {
            connection: self._rank(connection, watch)
            for connection, watch in self._watches.items()
            if is_idle_allowed or connection.held_bytes
        }
        candidates = [
            (rank, connection)
            for connection, rank in ranks.items()
            if rank is not None and (is_idle_allowed or not rank[0])
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda candidate: candidate[0])[1]

    def _rank(
        self, connection: ClientConnection, watch: _Watch
    ) -> tuple[bool, int, float] | None:
        """Return when to close a connection for others; None for never."""
        phase = connection.phase
        is_idle = phase is Phase.idle
        if phase is Phase.running:
            return None
        if not is_idle and not self._is_stalled(connection, watch):
            return None
        count = self._addresses[connection.address]
        return is_idle, -count, watch.moved_at

    def _is_stalled(self, connection: ClientConnection, watch: _Watch) -> bool:
        return (
            connection.progress == watch.progress
            and connection.requests == watch.requests
            and self._clock - watch.moved_at >= _STALLED_SECONDS
        )

    async def _sweep(self) -> None:
        now = self._timers.now()
        self._clock += min(now - self._swept_at, 2 * _SWEEP_SECONDS)
        self._swept_at = now
        for connection, watch in tuple(self._watches.items()):
            reason = self._check(connection, watch)
            if reason is not None:
                self._close(connection, reason)
        CLIENT_CONNECTIONS.set(len(self._watches))
        self.budget.publish()
        if now - self._logged_at >= _LOG_SECONDS:
            self._logged_at = now
            self.rejections.flush()

    def _check(
        self, connection: ClientConnection, watch: _Watch
    ) -> Reason | None:
        """Return why a connection has to be closed; None if it may stay."""
        progress = connection.progress
        phase = connection.phase
        requests = connection.requests
        if progress != watch.progress:
            watch.moved_at = self._clock
            watch.progress = progress
        if phase is not watch.phase or requests != watch.requests:
            watch.phase = phase
            watch.requests = requests
            watch.since = self._clock
            watch.mark = progress
            return None
        return self._find_expiry(watch)

    def _find_expiry(self, watch: _Watch) -> Reason | None:
        """Return which time-out of a connection has expired."""
        seconds = self._clock - watch.since
        limits = self.callers
        if watch.phase is Phase.head:
            allowed = limits.header_timeout_seconds + _HEAD_MARGIN_SECONDS
            return Reason.head_time if seconds > allowed else None
        if seconds <= limits.idle_timeout_seconds:
            return None
        if watch.phase is Phase.discarding:
            return Reason.body_progress
        if watch.phase is Phase.idle and not watch.requests:
            # The server itself closes connections that have served a request.
            return Reason.idle
        return self._find_slowness(watch)

    def _find_slowness(self, watch: _Watch) -> Reason | None:
        """Return why a body or a response is too slow; None if it is not."""
        reason = _SLOWNESS.get(watch.phase)
        if abs(watch.progress - watch.mark) < _MIN_PROGRESS_BYTES:
            return reason
        watch.since = self._clock
        watch.mark = watch.progress
        return None
