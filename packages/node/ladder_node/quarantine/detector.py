"""Detection of replica processes that crash while they run requests."""

import asyncio
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    asynccontextmanager,
    suppress,
)
from dataclasses import dataclass, field

from prometheus_client import Counter

from ladder_clients.transport import TargetProbe
from ladder_core.errors import (
    MayHaveRunError,
    RunFailedError,
    TargetLostError,
    TaskRejectedError,
)
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Replica
from ladder_node.replicas import ReplicaRegistry

# Time within which a replica whose connection broke may be listed as restarted.
_CONFIRMATION_SECONDS = 8
_MAX_KNOWN_CRASHES = 256
_MAX_LOGGED_REQUESTS = 16

_broken_runs_counter = Counter(
    'ladder_broken_runs_total',
    'Runs without a complete response, by what became of the replica',
    ('verdict',),
)


class CrashListener(ABC):
    """Receives what becomes of the requests that a node sends to replicas."""

    @abstractmethod
    def record_crash(self, digest: str, process: str) -> None:
        """
        Record that a process crashed while it ran a request.

        Parameters
        ----------
        digest : str
            Digest of the request.
        process : str
            Identifies the process of the replica.

        """

    @abstractmethod
    def record_response(self, digest: str) -> None:
        """Record that a replica responded to a request completely."""


@dataclass(slots=True)
class _BrokenRuns:
    """Requests whose runs at one process broke without a response."""

    replica: Replica
    broken_at: float
    digests: dict[str, None] = field(default_factory=dict)
    probe: asyncio.Task[None] | None = None


class CrashDetector(Component):
    """
    Find out whether the process of a replica crashed when a run broke.

    Explanation
    -----------
    A broken connection is no crash. A process has crashed if its address
    refuses connections, or if the list of replicas shows a later start under
    the same name. A replica that was leaving, that does not answer or whose
    entry is removed has not crashed: it ended for another reason, or may be
    alive behind a network partition.

    Parameters
    ----------
    registry : ReplicaRegistry
        Replicas that this node knows.
    probe : TargetProbe
        Distinguishes a crashed process from a broken connection.
    timers : TimerService
        Clock by which broken runs are forgotten.
    timeline : Timeline
        Records each crash with its evidence.

    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        probe: TargetProbe,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._registry = registry
        self._probe = probe
        self._timers = timers
        self._timeline = timeline
        self._listeners: list[CrashListener] = []
        self._broken: dict[str, _BrokenRuns] = {}
        self._crashed: OrderedDict[str, None] = OrderedDict()
        self._probes: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Subscribe to changes of the list of replicas."""
        self._registry.add_listener(self._check_registry)

    async def close(self) -> None:
        """Unsubscribe, and cancel the probes."""
        self._registry.remove_listener(self._check_registry)
        self._broken.clear()
        for probe in tuple(self._probes):
            probe.cancel()
            with suppress(asyncio.CancelledError):
                await probe

    def subscribe(self, listener: CrashListener) -> None:
        """Register a listener to crashes and responses."""
        self._listeners.append(listener)

    def watch(
        self, digest: str, replica: Replica
    ) -> AbstractAsyncContextManager[None]:
        """
        Return a context manager whose body runs a request at a replica.

        Parameters
        ----------
        digest : str
            Digest of the request.
        replica : Replica
            Replica that the request is sent to.

        """
        return self._watch(digest, replica)

    async def settle(self, digest: str) -> None:
        """Wait for the probes of the replicas at which a request broke."""
        probes = [
            runs.probe
            for runs in self._broken.values()
            if runs.probe is not None and digest in runs.digests
        ]
        if probes:
            await asyncio.wait(probes)

    def count_broken(self, digest: str) -> int:
        """Return the number of processes at which a request just broke."""
        self._drop_old()
        return sum(digest in runs.digests for runs in self._broken.values())

    @asynccontextmanager
    async def _watch(
        self, digest: str, replica: Replica
    ) -> AsyncIterator[None]:
        try:
            yield
        except (RunFailedError, TaskRejectedError):
            self._record_response(digest, replica)
            raise
        except TargetLostError:
            self._record_broken(digest, replica, is_connection_lost=True)
            raise
        except MayHaveRunError:
            self._record_broken(digest, replica, is_connection_lost=False)
            raise
        self._record_response(digest, replica)

    def _record_response(self, digest: str, replica: Replica) -> None:
        """Take a response as a proof that the process is alive."""
        runs = self._broken.get(make_process_name(replica))
        if runs is not None and runs.probe is None:
            self._forget(runs, 'alive')
        for listener in self._listeners:
            listener.record_response(digest)

    def _record_broken(
        self, digest: str, replica: Replica, *, is_connection_lost: bool
    ) -> None:
        process = make_process_name(replica)
        if process in self._crashed:
            self._report(digest, process)
            return
        if _is_leaving(self._registry, replica):
            _broken_runs_counter.labels('leaving').inc()
            return
        runs = self._broken.setdefault(
            process, _BrokenRuns(replica, self._timers.now())
        )
        runs.digests[digest] = None
        if is_connection_lost and runs.probe is None:
            runs.probe = asyncio.create_task(self._probe_process(runs))
            self._probes.add(runs.probe)
            runs.probe.add_done_callback(self._probes.discard)
        self._check_registry()

    async def _probe_process(self, runs: _BrokenRuns) -> None:
        try:
            is_gone = await self._probe.is_gone(runs.replica.address)
        finally:
            runs.probe = None
        if is_gone:
            self._confirm(runs, 'refused')

    def _check_registry(self) -> None:
        self._drop_old()
        for runs in tuple(self._broken.values()):
            record = self._registry.find(runs.replica.name)
            if record is None:
                continue
            if record.replica.started_at > runs.replica.started_at:
                self._confirm(runs, 'restarted')
            elif record.replica.is_leaving:
                self._forget(runs, 'leaving')

    def _confirm(self, runs: _BrokenRuns, evidence: str) -> None:
        process = make_process_name(runs.replica)
        if self._broken.get(process) is not runs:
            # The list has withdrawn these runs while they were probed.
            return
        self._broken.pop(process)
        self._crashed[process] = None
        if len(self._crashed) > _MAX_KNOWN_CRASHES:
            self._crashed.popitem(last=False)
        self._timeline.record(
            'replica-crashed',
            runs.replica.name,
            process=process,
            evidence=evidence,
            age=round(self._timers.now() - runs.broken_at, 3),
            in_flight=len(runs.digests),
            contents=','.join(list(runs.digests)[:_MAX_LOGGED_REQUESTS]),
        )
        for digest in runs.digests:
            self._report(digest, process)

    def _report(self, digest: str, process: str) -> None:
        _broken_runs_counter.labels('crashed').inc()
        for listener in self._listeners:
            listener.record_crash(digest, process)

    def _forget(self, runs: _BrokenRuns, verdict: str) -> None:
        self._broken.pop(make_process_name(runs.replica), None)
        _broken_runs_counter.labels(verdict).inc(len(runs.digests))

    def _drop_old(self) -> None:
        oldest = self._timers.now() - _CONFIRMATION_SECONDS
        for runs in tuple(self._broken.values()):
            if runs.broken_at < oldest and runs.probe is None:
                self._forget(runs, 'unconfirmed')


def _is_leaving(registry: ReplicaRegistry, replica: Replica) -> bool:
    record = registry.find(replica.name)
    return record is None or record.replica.is_leaving


def make_process_name(replica: Replica) -> str:
    """
    Return a name for one process of a replica.

    Examples
    --------
    >>> replica = Replica('r1', 'app', '10.0.0.1:80', 'dc', 6, started_at=7)
    >>> make_process_name(replica)
    'r1@7'

    """
    return f'{replica.name}@{replica.started_at}'
