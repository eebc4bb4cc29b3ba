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

from ladder_clients.probes import TargetProbe
from ladder_core.errors import (
    MayHaveRunError,
    PathLostError,
    RunFailedError,
    TargetLostError,
    TaskRejectedError,
)
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Replica
from ladder_node.quarantine.silences import SilentEnds
from ladder_node.replicas import ReplicaRecord, ReplicaRegistry

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
    """Is told what becomes of the runs that it watches."""

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


@dataclass(frozen=True, slots=True)
class _WatchedRun:
    """Name of what runs at a replica, and who is told what becomes of it."""

    name: str
    listener: CrashListener | None


@dataclass(slots=True)
class _BrokenRuns:
    """Runs at one process that broke without a response."""

    replica: Replica
    broken_at: float
    is_connection_lost: bool = False
    has_lapsed: bool = False
    runs: dict[_WatchedRun, None] = field(default_factory=dict)
    probe: asyncio.Task[None] | None = None


class CrashDetector(Component):
    """
    Find out whether the process of a replica crashed when a run broke.

    Explanation
    -----------
    A broken connection is no crash. A process has crashed if its address
    refuses connections, if the list of replicas shows a later start under the
    same name or at the same address, or if its entry lapses after its
    connections broke. A replica that was leaving or only silent has not
    crashed: it ended for another reason, or may be alive behind a network
    partition. A request after which a second process falls silent and lapses,
    with no response in between, counts as the cause of both ends.

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
        self._broken: dict[str, _BrokenRuns] = {}
        self._crashed: OrderedDict[str, None] = OrderedDict()
        self._probes: set[asyncio.Task[None]] = set()
        self._silences = SilentEnds()

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

    def watch(
        self,
        name: str,
        replica: Replica,
        listener: CrashListener | None = None,
    ) -> AbstractAsyncContextManager[None]:
        """
        Return a context manager whose body runs a request at a replica.

        Parameters
        ----------
        name : str
            Digest of a request, or id of a task.
        replica : Replica
            Replica that the request is sent to.
        listener : CrashListener, optional
            Is told what becomes of the run; crashes are logged in any case.

        """
        return self._watch(_WatchedRun(name, listener), replica)

    async def settle(self, name: str, listener: CrashListener) -> None:
        """Wait for the probes of the replicas at which a request broke."""
        run = _WatchedRun(name, listener)
        probes = [
            broken.probe
            for broken in self._broken.values()
            if broken.probe is not None and run in broken.runs
        ]
        if probes:
            await asyncio.wait(probes)

    def count_broken(self, name: str, listener: CrashListener) -> int:
        """Return the number of processes at which a request just broke."""
        self._drop_old()
        run = _WatchedRun(name, listener)
        return sum(run in broken.runs for broken in self._broken.values())

    @asynccontextmanager
    async def _watch(
        self, run: _WatchedRun, replica: Replica
    ) -> AsyncIterator[None]:
        try:
            yield
        except (RunFailedError, TaskRejectedError):
            self._record_response(run, replica)
            raise
        except MayHaveRunError as error:
            self._record_unanswered(run, replica, error)
            raise
        self._record_response(run, replica)

    def _record_response(self, run: _WatchedRun, replica: Replica) -> None:
        """Take a response as a proof that the process is alive."""
        broken = self._broken.get(make_process_name(replica))
        if broken is not None and broken.probe is None:
            self._forget(broken, 'alive')
        self._silences.clear(run.name)
        if run.listener is not None:
            run.listener.record_response(run.name)

    def _record_unanswered(
        self, run: _WatchedRun, replica: Replica, error: MayHaveRunError
    ) -> None:
        # A path that was lost tells nothing of the replica.
        if not isinstance(error, PathLostError):
            self._record_broken(
                run,
                replica,
                is_connection_lost=isinstance(error, TargetLostError),
            )

    def _record_broken(
        self, run: _WatchedRun, replica: Replica, *, is_connection_lost: bool
    ) -> None:
        process = make_process_name(replica)
        if process in self._crashed:
            _report(run, process)
            return
        if _is_leaving(self._registry, replica):
            _broken_runs_counter.labels('leaving').inc()
            return
        broken = self._broken.setdefault(
            process, _BrokenRuns(replica, self._timers.now())
        )
        broken.runs[run] = None
        broken.is_connection_lost |= is_connection_lost
        if is_connection_lost and broken.probe is None:
            broken.probe = asyncio.create_task(self._probe_process(broken))
            self._probes.add(broken.probe)
            broken.probe.add_done_callback(self._probes.discard)
        self._check_registry()

    async def _probe_process(self, broken: _BrokenRuns) -> None:
        try:
            is_gone = await self._probe.is_gone(broken.replica.address)
        finally:
            broken.probe = None
        if is_gone:
            self._confirm(broken, 'refused')

    def _check_registry(self) -> None:
        self._drop_old()
        for broken in tuple(self._broken.values()):
            record = self._registry.find(broken.replica.name)
            evidence = _find_evidence(broken, record)
            if evidence:
                self._confirm(broken, evidence)
            elif record is None:
                self._record_silence(broken)
            elif record.replica.is_leaving:
                self._forget(broken, 'leaving')

    def _confirm(self, broken: _BrokenRuns, evidence: str) -> None:
        process = make_process_name(broken.replica)
        if self._broken.get(process) is not broken:
            # The list has withdrawn these runs while they were probed.
            return
        self._broken.pop(process)
        self._crashed[process] = None
        if len(self._crashed) > _MAX_KNOWN_CRASHES:
            self._crashed.popitem(last=False)
        self._timeline.record(
            'replica-crashed',
            broken.replica.name,
            process=process,
            evidence=evidence,
            age=round(self._timers.now() - broken.broken_at, 3),
            in_flight=len(broken.runs),
            contents=','.join(
                run.name for run in list(broken.runs)[:_MAX_LOGGED_REQUESTS]
            ),
        )
        for run in broken.runs:
            _report(run, process)

    def _record_silence(self, broken: _BrokenRuns) -> None:
        """Report a silent process that lapsed, if it is not the first one."""
        if broken.has_lapsed:
            return
        broken.has_lapsed = True
        process = make_process_name(broken.replica)
        for run in broken.runs:
            for ended in self._silences.add(run.name, process):
                self._timeline.record(
                    'replica-silenced', ended, content=run.name
                )
                _report(run, ended)

    def _forget(self, broken: _BrokenRuns, verdict: str) -> None:
        self._broken.pop(make_process_name(broken.replica), None)
        _broken_runs_counter.labels(verdict).inc(len(broken.runs))

    def _drop_old(self) -> None:
        oldest = self._timers.now() - _CONFIRMATION_SECONDS
        for broken in tuple(self._broken.values()):
            if broken.broken_at < oldest and broken.probe is None:
                self._forget(broken, 'unconfirmed')


def _report(run: _WatchedRun, process: str) -> None:
    _broken_runs_counter.labels('crashed').inc()
    if run.listener is not None:
        run.listener.record_crash(run.name, process)


def _find_evidence(broken: _BrokenRuns, record: ReplicaRecord | None) -> str:
    """
    Return what the list of replicas says of the end of a process, or ''.

    A lost connection and an entry that lapsed later show an end. A process
    that only was silent may be alive behind a network partition, so that alone
    is no evidence.
    """
    if record is None:
        return 'lapsed' if broken.is_connection_lost else ''
    if record.replica.started_at > broken.replica.started_at:
        return 'restarted'
    return 'superseded' if record.has_ended else ''


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
