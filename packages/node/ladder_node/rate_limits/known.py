"""Rate limits that replica processes name in their responses."""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from typing import TypeVar

from prometheus_client import Counter as CounterMetric
from prometheus_client import Gauge

from ladder_clients.replicas import CallKind
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Replica

_MAX_PROCESSES = 1024
# Requests to a limited replica are logged as one line for each such time.
_LOG_INTERVAL_SECONDS = 1

_limited_gauge = Gauge(
    'ladder_replicas_limited',
    'Replica processes that limit the rate of their requests',
)
_requests_counter = CounterMetric(
    'ladder_limited_requests_total',
    'Requests written to replicas that limit their rate, by the kind of call',
    ('service', 'kind'),
)

ProcessKey = tuple[str, int]
_Entry = TypeVar('_Entry')


def make_process_key(replica: Replica) -> ProcessKey:
    """Return what identifies the process of a replica: its name and start."""
    return replica.name, replica.started_at


@dataclass(slots=True)
class KnownLimit:
    """
    The rate that one process has named last.

    Attributes
    ----------
    replica : Replica
        Replica whose process has named it.
    rate : float
        Requests a second that the process accepts from all nodes together.
    named_at : float
        Time in seconds of the latest response that named it.
    logged_at : float
        Time in seconds of the latest log line on its requests.
    unlogged : Counter
        Requests written since then, by the kind of call.

    """

    replica: Replica
    rate: float
    named_at: float
    logged_at: float
    unlogged: Counter[CallKind] = field(default_factory=Counter)


class KnownLimits:
    """
    Remember which processes limit the rate of their requests.

    Explanation
    -----------
    A limit belongs to a process, so it outlives the entry of its replica, and
    another process under the same name has none. The limits that were named
    longest ago are forgotten first.

    Parameters
    ----------
    timers : TimerService
        Clock of the limits.
    timeline : Timeline
        Records each change of a limit, and the requests under it.

    """

    def __init__(self, timers: TimerService, timeline: Timeline) -> None:
        self._timers = timers
        self._timeline = timeline
        self._limits: OrderedDict[ProcessKey, KnownLimit] = OrderedDict()
        self._ends: OrderedDict[ProcessKey, float] = OrderedDict()

    def find(self, replica: Replica) -> KnownLimit | None:
        """Return the limit of the process of a replica, or None."""
        return self._limits.get(make_process_key(replica))

    def find_end(self, key: ProcessKey) -> float | None:
        """Return the time at which the limit of a process ended, or None."""
        return self._ends.get(key)

    def record(self, replica: Replica, rate: float | None) -> None:
        """Record the rate that a response names; None if it names none."""
        key = make_process_key(replica)
        if rate is not None:
            self._name(replica, rate)
        elif key in self._limits:
            self.end(key)

    def end(self, key: ProcessKey) -> None:
        """Record that a process does not limit its rate any more."""
        _put(self._ends, key, self._timers.now())
        limit = self._limits.pop(key, None)
        if limit is not None:
            self._record_event('replica-limit-ended', limit.replica, limit.rate)
        _limited_gauge.set(len(self._limits))

    def count(self, replica: Replica, kind: CallKind) -> None:
        """Count a request that is written to a replica."""
        limit = self.find(replica)
        if limit is None:
            return
        _requests_counter.labels(replica.service, kind).inc()
        limit.unlogged[kind] += 1
        now = self._timers.now()
        if now - limit.logged_at < _LOG_INTERVAL_SECONDS:
            return
        self._record_event(
            'replica-limit-used',
            replica,
            limit.rate,
            seconds=round(now - limit.logged_at, 3),
            **{f'{sent}s': number for sent, number in limit.unlogged.items()},
        )
        limit.unlogged.clear()
        limit.logged_at = now

    def _name(self, replica: Replica, rate: float) -> None:
        now = self._timers.now()
        key = make_process_key(replica)
        known = self._limits.get(key)
        if known is None or known.rate != rate:
            self._record_event(
                'replica-limit-named',
                replica,
                rate,
                before=known.rate if known else 'none',
            )
        limit = known or KnownLimit(replica, rate, now, now)
        limit.rate = rate
        limit.named_at = now
        _put(self._limits, key, limit)
        self._ends.pop(key, None)
        _limited_gauge.set(len(self._limits))

    def _record_event(
        self, kind: str, replica: Replica, rate: float, **details: object
    ) -> None:
        self._timeline.record(
            kind,
            replica.name,
            service=replica.service,
            started_at=replica.started_at,
            rate=rate,
            **details,
        )


def _put(
    entries: OrderedDict[ProcessKey, _Entry], key: ProcessKey, entry: _Entry
) -> None:
    """Add an entry as the newest, and forget the oldest of too many."""
    entries.pop(key, None)
    entries[key] = entry
    if len(entries) > _MAX_PROCESSES:
        entries.popitem(last=False)
