"""Table of the targets that a node knows."""

import contextlib
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field

from prometheus_client import Counter

from ladder_clients.engines import EngineState, Role
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import HostEntry, HostKind, HostState
from ladder_policy.routing import TargetCircuitBreaker

_EXCLUSION_SECONDS = 20
_openings_counter = Counter(
    'ladder_target_circuit_openings',
    'Failures that opened the circuit of a target',
    ['reason'],
)


@dataclass(slots=True)
class Target:
    """
    A target as known to this node.

    Attributes
    ----------
    entry : HostEntry
        Entry of the target in the platform's host list.
    state : EngineState or None
        Latest status report of the target if it is an engine.
    in_flight : int
        Requests of this node in flight at the target.
    in_flight_at_report : int
        Requests of this node that were in flight at the target when its
        latest status report arrived.
    is_leaving : bool
        Whether the target itself or a peer reported that it is leaving.
    is_reserved : bool
        Whether the target is reserved for a single request.
    excluded_until : float
        Time on the clock of the timer service before which the target gets no
        new requests, because its streams carry an older weight version than
        its status report.
    circuit : TargetCircuitBreaker
        Stops new requests to the target while it fails.

    """

    entry: HostEntry
    state: EngineState | None = None
    in_flight: int = 0
    in_flight_at_report: int = 0
    is_leaving: bool = False
    is_reserved: bool = False
    excluded_until: float = 0
    circuit: TargetCircuitBreaker = field(default_factory=TargetCircuitBreaker)


class TargetTable:
    """
    Targets by name, merged from the host list, status reports and requests.

    Parameters
    ----------
    timers : TimerService
        Clock by which targets are suspended and excluded.
    timeline : Timeline
        Records changes of the targets.

    """

    def __init__(self, timers: TimerService, timeline: Timeline) -> None:
        self._timers = timers
        self._timeline = timeline
        self._targets: dict[str, Target] = {}
        self._entry_hosts: tuple[HostEntry, ...] = ()
        self._is_stale: Callable[[], bool] = bool
        self._ensure_fresh: Callable[[], Awaitable[None]] = _do_nothing

    @property
    def entry_hosts(self) -> tuple[HostEntry, ...]:
        """The live entry hosts by the platform's host list."""
        return self._entry_hosts

    def set_staleness_check(
        self,
        is_stale: Callable[[], bool],
        ensure_fresh: Callable[[], Awaitable[None]],
    ) -> None:
        """Set a check; while it reports stale data, no target is available."""
        self._is_stale = is_stale
        self._ensure_fresh = ensure_fresh

    async def ensure_fresh(self) -> None:
        """Refresh the table if it is stale, as after a paused process."""
        if self._is_stale():
            await self._ensure_fresh()

    def update_hosts(self, entries: Iterable[HostEntry]) -> None:
        """
        Update the targets by the platform's host list.

        Parameters
        ----------
        entries : iterable of HostEntry
            The complete list; targets that are not on it are removed.

        """
        listed = {entry.name: entry for entry in entries}
        self._entry_hosts = tuple(
            entry
            for entry in listed.values()
            if entry.kind is HostKind.entry and entry.state is HostState.live
        )
        for name in set(self._targets) - set(listed):
            self._targets.pop(name)
            self._timeline.record('target-gone', name)
        for entry in listed.values():
            if entry.kind is not HostKind.entry:
                self._update_entry(entry)

    def update_state(self, name: str, state: EngineState) -> None:
        """
        Update a target by a status report of the engine.

        Parameters
        ----------
        name : str
            Name of the target; names that are not in the table are ignored.
        state : EngineState
            Status report. A target that has reported that it is leaving stays
            marked as leaving.

        """
        target = self._targets.get(name)
        if target is None:
            return
        target.state = state
        target.in_flight_at_report = target.in_flight
        target.circuit.half_open(self._timers.now())
        if state.leaving:
            self.mark_leaving(name)

    def mark_leaving(self, name: str) -> None:
        """Send no new requests to a target, since it is leaving."""
        target = self._targets.get(name)
        if target is not None and not target.is_leaving:
            target.is_leaving = True
            self._timeline.record('target-leaving', name)

    def suspend(self, name: str, reason: str) -> None:
        """
        Open the circuit of a target after a failure.

        Parameters
        ----------
        name : str
            Name of the target that failed.
        reason : str
            Kind of the failure, for the timeline and the metric.

        """
        target = self._targets.get(name)
        if target is None:
            return
        now = self._timers.now()
        if target.circuit.allows(now, in_flight=0):
            _openings_counter.labels(reason).inc()
            self._timeline.record('target-suspended', name, reason=reason)
        target.circuit.record_failure(now)

    def check_served_version(
        self,
        name: str,
        served: int,
        stated: int,
    ) -> None:
        """
        Compare the version in a stream with that of the status report.

        Parameters
        ----------
        name : str
            Name of the target that sent the stream.
        served : int
            Weight version of a chunk of the stream.
        stated : int
            Version that the target had reported before the request was sent.

        Notes
        -----
        A target that serves an older version than it reported is excluded
        from new requests for a while, in which it is ordered to load again.

        """
        target = self._targets.get(name)
        now = self._timers.now()
        if target is None or served >= stated or now < target.excluded_until:
            return
        self.exclude(name, target.entry.address)
        self._timeline.record(
            'version-contradicted',
            name,
            stated=stated,
            served=served,
        )

    def exclude(self, name: str, address: str) -> None:
        """Exclude a target whose reported version was contradicted."""
        target = self._targets.get(name)
        if target is not None and target.entry.address == address:
            target.excluded_until = self._timers.now() + _EXCLUSION_SECONDS

    def list_all(self, kind: HostKind, pool: str = '') -> list[Target]:
        """Return the targets of a kind, of all pools or of the given one."""
        return [
            target
            for target in self._targets.values()
            if target.entry.kind is kind and pool in {'', target.entry.pool}
        ]

    def list_available(self, kind: HostKind, pool: str = '') -> list[Target]:
        """Return the targets to which new requests may be sent."""
        if self._is_stale():
            return []
        now = self._timers.now()
        return [
            target
            for target in self.list_all(kind, pool)
            if _is_available(target, now)
        ]

    @contextlib.contextmanager
    def track_request(self, target: Target) -> Iterator[None]:
        """Count a request as in flight at a target, and record a success."""
        target.in_flight += 1
        try:
            yield
        finally:
            target.in_flight -= 1
        self._record_success(target)

    def _record_success(self, target: Target) -> None:
        was_closed = target.circuit.is_closed
        target.circuit.record_success()
        if target.circuit.is_closed and not was_closed:
            self._timeline.record('target-returned', target.entry.name)

    def _update_entry(self, entry: HostEntry) -> None:
        target = self._targets.get(entry.name)
        if target is None or target.entry.address != entry.address:
            self._targets[entry.name] = Target(entry)
            self._timeline.record('target-found', entry.name)
        else:
            target.entry = entry
        if entry.state is HostState.leaving:
            self.mark_leaving(entry.name)


def _is_available(target: Target, now: float) -> bool:
    if target.is_leaving or target.is_reserved:
        return False
    if now < target.excluded_until:
        return False
    if not target.circuit.allows(now, target.in_flight):
        return False
    return target.state is None or target.state.role is Role.serving


async def _do_nothing() -> None:
    """Refresh nothing; used until a staleness check is set."""
