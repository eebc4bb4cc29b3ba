"""The table of targets of one node."""

import contextlib
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field

from prometheus_client import Counter

from ladder_clients.engines import EngineState, Role
from ladder_core.timeline import TimeLine
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
    A target as this node knows it.

    Attributes
    ----------
    entry : HostEntry
        The host list's word.
    state : EngineState or None
        An engine's own last word.
    sent : int
        Requests of this node in flight there.
    in_flight_at_report : int
        Requests of this node in flight there at its last word.
    is_leaving : bool
        Whether the target itself or a peer said that it leaves.
    is_reserved : bool
        Whether the target is kept for one request.
    excluded_until : float
        Seconds on the timer service's clock before which the target gets no
        new requests because its streams name an older version than its word.
    circuit : TargetCircuitBreaker
        Keeps new requests from the target when it fails.

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
    Targets by name, merged from every source of knowledge.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes what changes.

    """

    def __init__(self, timers: TimerService, timeline: TimeLine) -> None:
        self._timers = timers
        self._timeline = timeline
        self._targets: dict[str, Target] = {}
        self._entry_hosts: tuple[HostEntry, ...] = ()
        self._is_stale: Callable[[], bool] = bool
        self._ensure_fresh: Callable[[], Awaitable[None]] = _do_nothing

    @property
    def entry_hosts(self) -> tuple[HostEntry, ...]:
        """The live entry hosts, by the platform's list."""
        return self._entry_hosts

    def set_staleness_check(
        self,
        is_stale: Callable[[], bool],
        ensure_fresh: Callable[[], Awaitable[None]],
    ) -> None:
        """Offer no target while a check says that the table is stale."""
        self._is_stale = is_stale
        self._ensure_fresh = ensure_fresh

    async def ensure_fresh(self) -> None:
        """Return at once, or after a pause when the table was read anew."""
        if self._is_stale():
            await self._ensure_fresh()

    def update_hosts(self, entries: Iterable[HostEntry]) -> None:
        """
        Take over the platform's host list.

        Parameters
        ----------
        entries : iterable of HostEntry
            The whole list; targets it no longer names are forgotten.

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
        Take over an engine's own word.

        Parameters
        ----------
        name : str
            Name of the target.
        state : EngineState
            Its word; that it leaves is never taken back.

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
        """Give a target no new requests."""
        target = self._targets.get(name)
        if target is not None and not target.is_leaving:
            target.is_leaving = True
            self._timeline.record('target-leaving', name)

    def suspend(self, name: str, reason: str) -> None:
        """
        Give a target that failed no new requests for a while.

        Parameters
        ----------
        name : str
            Name of the target.
        reason : str
            Kind of the failure, for the time line.

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
        Compare what a stream names with the target's word.

        Parameters
        ----------
        name : str
            Name of the target.
        served : int
            Version of a chunk.
        stated : int
            Version that the target stated before the request was sent.

        Notes
        -----
        A target that serves an older version than it stated gets no new
        requests for a while, in which it is ordered to load again.

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
        """Give a target whose word was contradicted no new requests."""
        target = self._targets.get(name)
        if target is not None and target.entry.address == address:
            target.excluded_until = self._timers.now() + _EXCLUSION_SECONDS

    def list_all(self, kind: HostKind, pool: str = '') -> list[Target]:
        """Return the targets of a kind, of one pool if it is named."""
        return [
            target
            for target in self._targets.values()
            if target.entry.kind is kind and pool in {'', target.entry.pool}
        ]

    def list_available(self, kind: HostKind, pool: str = '') -> list[Target]:
        """Return the targets that may get new requests."""
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
        """Count a request in flight at a target, and how it ends."""
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
    """Stand in for a guard that was not given."""
