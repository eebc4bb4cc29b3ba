"""Admission of a node's calls to the table service."""

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from prometheus_client import Counter, Gauge

from ladder_clients.table.circuit_breaker import CircuitBreaker
from ladder_clients.table.token_bucket import TokenBucket
from ladder_core.errors import StoreUnavailableError
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService

_RETRY_AFTER_SECONDS = 1

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
    """Kinds of calls, each with a rate limit of its own."""

    read = 'read'
    write = 'write'


@dataclass(frozen=True, slots=True)
class TableLimits:
    """
    Limits of the table service and of the calls of one node.

    Attributes
    ----------
    reads_per_second, writes_per_second : float
        Rate limits of the whole service, divided equally among all nodes.
    burst : float
        Number of calls of each kind that a node may make at once after it
        was idle.
    max_pending_calls : int
        Largest number of calls of a node that are queued or in flight.
    max_wait_seconds : float
        Longest time for which a call is queued for the rate limit; a call that
        would have to wait for longer is refused.

    """

    reads_per_second: float = 2000
    writes_per_second: float = 400
    burst: float = 16
    max_pending_calls: int = 256
    max_wait_seconds: float = 1


class TableAdmission:
    """
    Rate limits, bounded queue and circuit breaker of a node's table calls.

    Parameters
    ----------
    timers : TimerService
        Clock of the rate limits and of the circuit breaker.
    limits : TableLimits, optional
        Limits to apply; the defaults of `TableLimits` if absent.

    """

    def __init__(
        self,
        timers: TimerService,
        limits: TableLimits | None = None,
    ) -> None:
        self._timeline: Timeline | None = None
        self._limits = limits or TableLimits()
        self._breaker = CircuitBreaker(timers, self._report_breaker)
        self._buckets = {
            kind: TokenBucket(timers, rate, self._limits.burst)
            for kind, rate in self._list_rates(1)
        }
        self._pending = 0

    @property
    def breaker(self) -> CircuitBreaker:
        """Circuit breaker that is shared by all calls of the node."""
        return self._breaker

    def attach_timeline(self, timeline: Timeline) -> None:
        """
        Record events on a timeline when the breaker opens and closes.

        Parameters
        ----------
        timeline : Timeline
            Receives the events ``store-failed`` and ``store-recovered``.

        """
        self._timeline = timeline

    def set_node_count(self, node_count: int) -> None:
        """
        Set the rate limits to an equal share of the limits of the service.

        Parameters
        ----------
        node_count : int
            Number of nodes that call the service; at least one is assumed.

        """
        for kind, rate in self._list_rates(max(node_count, 1)):
            self._buckets[kind].change_rate(rate)

    @contextlib.contextmanager
    def admit(self, kind: CallKind, is_urgent: bool) -> Iterator[float]:
        """
        Admit one call; it counts as pending while the context is open.

        Parameters
        ----------
        kind : CallKind
            Selects the rate limit.
        is_urgent : bool
            Whether the call bypasses the breaker and the limits on the queue.
            It is meant for the few periodic calls that renew leases.

        Yields
        ------
        float
            Seconds for which the caller has to wait before the call.

        Raises
        ------
        StoreUnavailableError
            The call is refused; it must not be made.

        """
        delay = self._reserve(kind, is_urgent)
        self._add_pending(1)
        try:
            yield delay
        finally:
            self._add_pending(-1)

    def _reserve(self, kind: CallKind, is_urgent: bool) -> float:
        bucket = self._buckets[kind]
        if is_urgent:
            return bucket.reserve()
        if self._pending >= self._limits.max_pending_calls:
            raise _make_refusal('queue-full', 'too many calls wait for it')
        if bucket.estimate_wait_seconds() > self._limits.max_wait_seconds:
            raise _make_refusal('rate', "this node's share is used up")
        if not self._breaker.try_acquire():
            raise _make_refusal('breaker', 'it failed repeatedly')
        return bucket.reserve()

    def _add_pending(self, count: int) -> None:
        self._pending += count
        _pending_gauge.set(self._pending)

    def _list_rates(self, node_count: int) -> list[tuple[CallKind, float]]:
        return [
            (CallKind.read, self._limits.reads_per_second / node_count),
            (CallKind.write, self._limits.writes_per_second / node_count),
        ]

    def _report_breaker(self, is_open: bool) -> None:
        _open_gauge.set(int(is_open))
        if self._timeline is not None:
            kind = 'store-failed' if is_open else 'store-recovered'
            self._timeline.record(kind, 'table')


def _make_refusal(reason: str, text: str) -> StoreUnavailableError:
    _refused_counter.labels(reason).inc()
    return StoreUnavailableError(
        f'the table service was not called: {text}',
        remedy='come back later',
        retry_after=_RETRY_AFTER_SECONDS,
    )
