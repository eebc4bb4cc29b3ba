"""What all calls of one node to the table service pass."""

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from prometheus_client import Counter, Gauge

from ladder_clients.table.circuit_breaker import CircuitBreaker
from ladder_clients.table.token_bucket import TokenBucket
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import TimeLine
from ladder_core.timers import TimerService

_RETRY_SECONDS = 1

_refused_counter = Counter(
    'ladder_table_calls_refused_total',
    'Calls that this node did not send to the table service',
    ('reason',),
)
_pending_gauge = Gauge(
    'ladder_table_calls_pending',
    'Calls to the table service that wait or are in flight',
)
_open_gauge = Gauge(
    'ladder_table_breaker_open',
    'One while the table service counts as failed',
)


class CallKind(StrEnum):
    """What a call costs the service."""

    read = 'read'
    write = 'write'


@dataclass(frozen=True, slots=True)
class TableLimits:
    """
    Limits of the table service and of one node's calls.

    Attributes
    ----------
    reads_per_second, writes_per_second : float
        Rates of the whole service, shared by all nodes.
    burst : float
        Calls that a node may make at once after a pause.
    pending_calls : int
        Largest number of calls of a node that wait or are in flight.
    wait_seconds : float
        Longest wait for the node's share.

    """

    reads_per_second: float = 2000
    writes_per_second: float = 400
    burst: float = 16
    pending_calls: int = 256
    wait_seconds: float = 1


class TableAdmission:
    """
    The rate limits, the bounded queue and the circuit breaker of a node.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    limits : TableLimits, optional
        The limits.

    """

    def __init__(
        self,
        timers: TimerService,
        limits: TableLimits | None = None,
    ) -> None:
        self._timeline: TimeLine | None = None
        self._limits = limits or TableLimits()
        self._breaker = CircuitBreaker(timers, self._note_breaker)
        self._buckets = {
            kind: TokenBucket(timers, rate, self._limits.burst)
            for kind, rate in self._list_rates(1)
        }
        self._pending = 0

    @property
    def breaker(self) -> CircuitBreaker:
        """The circuit breaker."""
        return self._breaker

    def set_timeline(self, timeline: TimeLine) -> None:
        """Record on a time line when the breaker opens and closes."""
        self._timeline = timeline

    def set_node_count(self, nodes: int) -> None:
        """Keep to the share of one of so many nodes."""
        for kind, rate in self._list_rates(max(nodes, 1)):
            self._buckets[kind].change_rate(rate)

    @contextlib.contextmanager
    def admit(self, kind: CallKind, is_urgent: bool) -> Iterator[float]:
        """
        Hold a place for one call.

        Parameters
        ----------
        kind : CallKind
            What the call costs.
        is_urgent : bool
            Whether the call passes the breaker and the full queue: few and
            paced calls that keep leases.

        Yields
        ------
        float
            Seconds to wait before the call.

        Raises
        ------
        StoreUnavailableError
            The call is refused at once.

        """
        delay = self._enter(kind, is_urgent)
        self._add_pending(1)
        try:
            yield delay
        finally:
            self._add_pending(-1)

    def _enter(self, kind: CallKind, is_urgent: bool) -> float:
        bucket = self._buckets[kind]
        if is_urgent:
            return bucket.reserve()
        if self._pending >= self._limits.pending_calls:
            raise _refuse('queue-full', 'too many calls wait for it')
        if bucket.estimate_wait() > self._limits.wait_seconds:
            raise _refuse('rate', "this node's share is used up")
        if not self._breaker.try_acquire():
            raise _refuse('breaker', 'it failed repeatedly')
        return bucket.reserve()

    def _add_pending(self, count: int) -> None:
        self._pending += count
        _pending_gauge.set(self._pending)

    def _list_rates(self, nodes: int) -> list[tuple[CallKind, float]]:
        return [
            (CallKind.read, self._limits.reads_per_second / nodes),
            (CallKind.write, self._limits.writes_per_second / nodes),
        ]

    def _note_breaker(self, is_open: bool) -> None:
        _open_gauge.set(int(is_open))
        if self._timeline is not None:
            kind = 'store-failed' if is_open else 'store-recovered'
            self._timeline.record(kind, 'table')


def _refuse(reason: str, text: str) -> StoreUnavailableError:
    _refused_counter.labels(reason).inc()
    return StoreUnavailableError(
        f'the table service was not called: {text}',
        remedy='come back later',
        retry_after=_RETRY_SECONDS,
    )
