"""
Find out which services this host has lost its own path to.

Explanation
-----------
Each replica by itself tells nothing of the path: one that does not answer may
have failed. Attempts at connections to several replicas of a service, and the
answers of other nodes to which the same replicas are reachable, tell the two
apart. A silence of a whole service starts such attempts, and while a path is
lost one attempt after the other is made to notice its return.

"""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from functools import partial

from loguru import logger
from prometheus_client import Counter, Gauge

from ladder_clients.exchanges import ConnectionObserver, ConnectionPool
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.replica_paths.comparer import PathComparer
from ladder_node.replica_paths.groups import ReplicaGroups
from ladder_node.replica_paths.prober import PathProber
from ladder_node.replica_paths.relays import RelayDirectory
from ladder_node.replicas import ReplicaRegistry
from ladder_policy.routing import ServicePath

_CHECK_INTERVAL_SECONDS = 0.2

_unreachable_counter = Counter(
    'ladder_replica_unreachable_total',
    'Attempts at connections to replicas that failed, by service',
    ('service',),
)
_comparisons_counter = Counter(
    'ladder_path_comparisons_total',
    'Comparisons of unreachable replicas with other nodes, by outcome',
    ('outcome',),
)
_lost_gauge = Gauge(
    'ladder_paths_lost',
    'Services that other nodes reach and this one does not',
)


class ReplicaPaths(Component, ConnectionObserver):
    """
    Observe the paths of this host to the services.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to replicas, and to nothing else.
    registry : ReplicaRegistry
        Replicas that this node knows.
    relays : RelayDirectory
        What other nodes have published of their paths.
    comparer : PathComparer
        Asks other nodes what they reach.
    timers : TimerService
        Clock and schedule of the checks.
    timeline : Timeline
        Records replicas that can't be reached, comparisons, and paths that are
        lost and regained.

    """

    def __init__(
        self,
        pool: ConnectionPool,
        registry: ReplicaRegistry,
        relays: RelayDirectory,
        comparer: PathComparer,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._pool = pool
        self._registry = registry
        self._relays = relays
        self._comparer = comparer
        self._prober = PathProber(pool, timers)
        self._timers = timers
        self._timeline = timeline
        self._paths: dict[str, ServicePath] = {}
        self._lost_at: dict[str, float] = {}
        self._groups = ReplicaGroups(registry)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Observe new connections, and start the checks."""
        self._pool.add_observer(self)
        self._groups.start()
        self._periodic_call = self._timers.call_periodically(
            _CHECK_INTERVAL_SECONDS, self.check
        )

    async def close(self) -> None:
        """Stop the checks, the probes and the comparisons."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None
        self._groups.close()
        await self._comparer.close()
        for task in tuple(self._tasks.values()):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when a path is lost or back."""
        self._listeners.append(listener)

    def is_lost(self, service: str) -> bool:
        """Return whether other nodes reach a service and this one doesn't."""
        return service in self._lost_at

    def find_path(self, service: str) -> ServicePath:
        """Return the evidence on the path to a service."""
        return self._paths.setdefault(service, ServicePath())

    def list_lost(self) -> tuple[str, ...]:
        """Return the services whose path is lost, in order of their names."""
        return tuple(sorted(self._lost_at))

    async def settle(self, service: str) -> bool:
        """Return whether a path is lost, after a comparison in progress."""
        comparison = self._tasks.get(_name_comparison(service))
        if comparison is not None:
            await asyncio.wait((comparison,))
        return self.is_lost(service)

    def record_connected(self, address: str) -> None:
        """Record that a connection to a replica was made."""
        record = self._registry.find_at(address)
        if record is not None:
            service = record.replica.service
            self.find_path(service).record_connected()
            self._update(service)

    def record_unreachable(self, address: str, error: Exception) -> None:
        """
        Record that no connection to a replica could be made.

        An attempt for another node is no evidence on this node's path: the
        nodes that are asked about a crash would ask others in turn.
        """
        record = self._registry.find_at(address)
        if record is None or self._comparer.is_probing(address):
            return
        service = record.replica.service
        _unreachable_counter.labels(service).inc()
        self._prober.record_unreachable(service)
        path = self.find_path(service)
        if record.name not in path.unreachable:
            self._timeline.record(
                'replica-unreachable',
                record.name,
                service=service,
                reason=repr(error),
                others=len(path.unreachable),
            )
        path.record_unreachable(
            record.name,
            self._timers.now(),
            is_silent=isinstance(error, TimeoutError),
        )
        self._compare_if_needed(service, self._groups.list_addresses(service))

    def record_broken(self, address: str) -> None:
        """Record that a connection to a replica ended with an error."""
        record = self._registry.find_at(address)
        if record is not None:
            self._prober.suspect(record.replica.service)

    async def check(self) -> None:
        """Start the probes and comparisons that are due."""
        lost_elsewhere = self._relays.list_services_lost_elsewhere()
        groups = self._groups.find_all()
        for gone in self._lost_at.keys() - groups.keys():
            # Nothing is left of the service that could be out of reach.
            self.find_path(gone).record_connected()
            self._update(gone)
        for service, addresses in groups.items():
            self._compare_if_needed(service, addresses)
            if not self._prober.is_due(service):
                continue
            count = 1
            if not self.is_lost(service):
                count = self._prober.count_needed(
                    service,
                    addresses,
                    service in lost_elsewhere
                    and self._relays.is_verifier(service),
                )
            if count:
                self._begin(
                    f'probe {service}',
                    partial(self._prober.probe, service, addresses, count),
                )

    def _compare_if_needed(self, service: str, addresses: list[str]) -> None:
        path = self.find_path(service)
        if path.needs_comparison(self._timers.now(), len(addresses)):
            self._begin(
                _name_comparison(service), partial(self._compare, service, path)
            )

    async def _compare(self, service: str, path: ServicePath) -> None:
        asked = path.unreachable
        reached = await self._comparer.find_reached(service, asked)
        path.record_comparison(
            self._timers.now(), is_reached_elsewhere=bool(reached)
        )
        outcome = 'reached' if reached else 'not-reached'
        _comparisons_counter.labels(outcome).inc()
        self._timeline.record(
            'path-compared',
            service,
            asked=','.join(asked),
            reached=','.join(sorted(reached)),
        )
        self._update(service)

    def _update(self, service: str) -> None:
        """Record and announce a path that was lost or is back."""
        now = self._timers.now()
        is_lost = self.find_path(service).is_lost
        if is_lost == self.is_lost(service):
            return
        if is_lost:
            self._lost_at[service] = now
            self._timeline.record('path-lost', service)
        else:
            seconds = now - self._lost_at.pop(service)
            self._timeline.record(
                'path-regained', service, seconds=round(seconds, 3)
            )
        _lost_gauge.set(len(self._lost_at))
        for listener in self._listeners:
            listener()

    def _begin(
        self, name: str, work: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        """Start a task, unless one of the same name is in progress."""
        if name in self._tasks:
            return
        task = asyncio.create_task(work())
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))
        task.add_done_callback(partial(_log_failure, name))


def _name_comparison(service: str) -> str:
    return f'compare {service}'


def _log_failure(name: str, task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.opt(exception=task.exception()).error('{} failed', name)
