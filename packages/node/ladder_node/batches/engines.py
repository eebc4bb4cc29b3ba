"""Slots, token times and running tasks of the engines that run batches."""

from collections.abc import Iterable

from ladder_clients.replicas import ReplicaClient
from ladder_core.values import Replica
from ladder_node.replicas import ReplicaRecord, ReplicaRegistry
from ladder_policy.capacity import (
    CapacityFleet,
    CapacityMode,
    CapacityView,
    FixedFleet,
    LearnedFleet,
    ServerCapacity,
)
from ladder_policy.scheduling import EngineStatus, EngineView, FleetTokenTime

# Number of the latest groups whose prompts an engine is assumed to have cached.
_MAX_TRACKED_PREFIXES = 64
# An engine makes an event of each running text every 50 ms, and processes the
# prompts of a batch, which delay all texts, in some hundred milliseconds.
_WINDOW_SECONDS = 0.1
_SETTLE_SECONDS = 0.5
# Kind of request that stands for texts in events.
_TOKENS = 'tokens'


class TrackedEngine:
    """
    State of one engine: its slots, its token time and the load in progress.

    Parameters
    ----------
    record : ReplicaRecord
        State and health of the replica as this node knows it.
    capacity : ServerCapacity
        Estimates of its time per token and of the slots that it handles well.
    client : ReplicaClient
        Knows whether the engine limits the rate of requests.

    Attributes
    ----------
    running : dict of str to str
        Model of each task that runs on the engine, by task id.
    loading : str
        Model of which a version is being loaded; empty for none.
    orders : int or None
        Number of load orders that the engine has accepted so far; None if it
        is not known.

    """

    def __init__(
        self,
        record: ReplicaRecord,
        capacity: ServerCapacity,
        client: ReplicaClient,
    ) -> None:
        self.record = record
        self.running: dict[str, str] = {}
        self.loading = ''
        self.orders: int | None = None
        self._begun: set[str] = set()
        self._client = client
        self._capacity = capacity
        self._slot_limit: int | None = None
        self._prefixes: dict[str, None] = {}

    @property
    def replica(self) -> Replica:
        """The state that the replica reports of itself."""
        return self.record.replica

    @property
    def free_slots(self) -> int:
        """
        Number of further tasks that can be started now.

        An engine gets no more tasks than its throughput gains from. At one
        that limits its requests no more tasks wait for permits than it allows
        a second.
        """
        slots = self.replica.slots
        if self._slot_limit is not None:
            slots = min(slots, self._slot_limit)
        free = slots - len(self.running)
        rate = self._client.find_rate(self.replica)
        if rate is not None:
            waiting = len(self.running) - len(self._begun)
            free = min(free, max(int(rate), 1) - waiting)
        return max(free, 0)

    @property
    def has_converged(self) -> bool:
        """Whether enough events are known to compare it with other engines."""
        return self._capacity.has_converged

    def add_task(self, task_id: str, model: str, group: str) -> None:
        """Occupy a slot with a task, and count its prompt as cached."""
        self.running[task_id] = model
        self._prefixes.pop(group, None)
        self._prefixes[group] = None
        if len(self._prefixes) > _MAX_TRACKED_PREFIXES:
            self._prefixes.pop(next(iter(self._prefixes)))

    def record_begin(self, task_id: str) -> None:
        """Record that a task has produced its first event."""
        if task_id in self.running:
            self._begun.add(task_id)

    def remove_task(self, task_id: str) -> None:
        """Free the slot of a task."""
        self.running.pop(task_id, None)
        self._begun.discard(task_id)

    def permits(self, priority: int) -> bool:
        """Return whether a request of a priority may be sent now."""
        return self._client.find_denial(self.replica, priority) is None

    def observe_token_time(self, token_seconds: float, now: float) -> None:
        """
        Add a measured time per token.

        Measurements during a load are ignored, since a load halts all texts.
        """
        if not self.loading:
            self._capacity.observe(token_seconds, len(self._begun), now)

    def estimate_token_time(
        self, now: float, tokens: float | None = None
    ) -> float:
        """Return the estimated seconds per token, for a number of tokens."""
        return self._capacity.estimate(now, tokens)

    def estimate_likely_time(self, now: float, tokens: float) -> float:
        """Return the seconds per token that are as likely exceeded as not."""
        return self._capacity.estimate_likely(now, tokens)

    def describe(self) -> CapacityView:
        """Return what has been learned of the engine."""
        return self._capacity.describe(self.replica.slots)

    def update_limit(self, now: float) -> None:
        """Update the number of tasks that the engine handles well."""
        self._slot_limit = self._capacity.find_limit(self.replica.slots, now)

    def make_view(self, group: str, tokens: float, now: float) -> EngineView:
        """
        Return the properties that the choice of an engine depends on.

        Parameters
        ----------
        group : str
            Group of the task, whose prompt may be cached.
        tokens : float
            Expected number of tokens still to be generated.
        now : float
            Present time in seconds.

        """
        return EngineView(
            self.record.name,
            self.estimate_token_time(now, tokens),
            self.free_slots,
            group in self._prefixes,
        )

    def make_status(self) -> EngineStatus:
        """Return the properties that the planning of loads depends on."""
        running: dict[str, int] = {}
        for model in self.running.values():
            running[model] = running.get(model, 0) + 1
        return EngineStatus(
            self.record.name,
            self.replica.versions,
            running,
            self.free_slots,
            self.loading,
        )


class EngineTracker:
    """
    Track the engines of all services.

    Parameters
    ----------
    replica_registry : ReplicaRegistry
        Lists the replicas of each service with their health.
    client : ReplicaClient
        Knows which engines limit the rate of requests.
    mode : CapacityMode, optional
        Whether the capacities of engines are learned.

    """

    def __init__(
        self,
        replica_registry: ReplicaRegistry,
        client: ReplicaClient,
        mode: CapacityMode = CapacityMode.learned,
    ) -> None:
        self._replica_registry = replica_registry
        self._client = client
        self._tracked: dict[str, TrackedEngine] = {}
        self._mode = mode
        self._fleets: dict[str, CapacityFleet] = {}

    def find(self, name: str) -> TrackedEngine | None:
        """Return an engine that is listed, or None."""
        record = self._replica_registry.find(name)
        return self._track(record) if record else None

    def list_usable(self, service: str, now: float) -> list[TrackedEngine]:
        """Return the engines of a service that may receive a task now."""
        usable = [
            self._track(record)
            for record in self._replica_registry.list_service(service)
            if record.allows(now)
        ]
        for engine in usable:
            engine.update_limit(now)
        return usable

    def list_active(self, service: str, now: float) -> list[TrackedEngine]:
        """Return the engines of a service that are neither lost nor leaving."""
        self._drop_removed()
        active = [
            self._track(record)
            for record in self._replica_registry.list_service(service)
            if not record.replica.is_leaving
            and not record.has_ended
            and not record.is_failing(now)
        ]
        for engine in active:
            self._replica_registry.capacity_log.check(
                engine.record.name, _TOKENS, engine.describe()
            )
        return active

    def list_running(self) -> list[TrackedEngine]:
        """Return the engines that run tasks, even if no longer listed."""
        return [engine for engine in self._tracked.values() if engine.running]

    def _drop_removed(self) -> None:
        for name, engine in tuple(self._tracked.items()):
            if not engine.running and self._replica_registry.find(name) is None:
                self._tracked.pop(name)

    def _track(self, record: ReplicaRecord) -> TrackedEngine:
        engine = self._tracked.get(record.name)
        if engine is None or engine.record is not record:
            engine = TrackedEngine(
                record,
                self._find_fleet(record.replica.service).make_server(),
                self._client,
            )
            self._tracked[record.name] = engine
        return engine

    def _find_fleet(self, service: str) -> CapacityFleet:
        """Return the fleet whose engines are compared with each other."""
        if self._mode is CapacityMode.fixed:
            return self._fleets.setdefault('', FixedFleet())
        fleet = self._fleets.get(service)
        if fleet is None:
            fleet = LearnedFleet(
                FleetTokenTime().seconds, _WINDOW_SECONDS, _SETTLE_SECONDS
            )
            self._fleets[service] = fleet
        return fleet


def find_shortest_token_time(
    engines: Iterable[TrackedEngine], now: float
) -> float:
    """Return the seconds per token of the fastest of some engines."""
    return min(
        (engine.estimate_token_time(now) for engine in engines),
        default=FleetTokenTime().seconds,
    )
