"""Registry of all replicas that a node knows."""

from collections.abc import Callable, Iterable

from prometheus_client import Gauge

from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Replica
from ladder_node.replicas.addresses import AddressIndex
from ladder_node.replicas.capacity_log import CapacityLog
from ladder_node.replicas.departed import DepartedProcesses
from ladder_node.replicas.record import ReplicaRecord
from ladder_policy.capacity import CapacityMode, ServiceCapacity

# Entries that expired while the table service was unavailable are written again
# within two seconds of its recovery; the rest covers the time of the read.
_MISSING_GRACE_SECONDS = 2.3

_replicas_gauge = Gauge('ladder_replicas_known', 'Replicas that are listed')


class ReplicaRegistry:
    """
    Keep the listed state of replicas, and this node's experience with them.

    Parameters
    ----------
    timers : TimerService
        Clock by which missing replicas are removed.
    timeline : Timeline
        Records replicas that are listed, leave or are removed.
    mode : CapacityMode, optional
        Whether the durations of responses are learned.

    Attributes
    ----------
    departed : DepartedProcesses
        Processes that said that they leave, whatever is listed of them.
    capacity_log : CapacityLog
        Records material changes of what is learned of replicas.

    """

    def __init__(
        self,
        timers: TimerService,
        timeline: Timeline,
        mode: CapacityMode = CapacityMode.learned,
    ) -> None:
        self.departed = DepartedProcesses()
        self.capacity_log = CapacityLog(timeline)
        self._timers = timers
        self._timeline = timeline
        self._records: dict[str, ReplicaRecord] = {}
        self._addresses = AddressIndex()
        self._missing_until: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []
        self._has_read = False
        self._mode = mode
        self._services: dict[str, ServiceCapacity] = {}

    @property
    def has_read(self) -> bool:
        """Whether the list of replicas has been read at least once."""
        return self._has_read

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each change."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Unregister a listener; one that is not registered is ignored."""
        if listener in self._listeners:
            self._listeners.remove(listener)

    def find(self, name: str) -> ReplicaRecord | None:
        """Return the record of a replica, or None if it is not listed."""
        return self._records.get(name)

    def find_at(self, address: str) -> ReplicaRecord | None:
        """Return the latest process that is listed at an address, or None."""
        return self._addresses.find_latest(address)

    def list_all(self) -> list[ReplicaRecord]:
        """Return the records of all replicas."""
        self._drop_missing()
        return list(self._records.values())

    def list_service(self, service: str) -> list[ReplicaRecord]:
        """Return the records of the replicas of a service."""
        return [
            record
            for record in self.list_all()
            if record.replica.service == service
        ]

    def replace(
        self,
        replicas: Iterable[Replica],
        outage_seconds: float,
    ) -> None:
        """
        Replace the list of replicas.

        Parameters
        ----------
        replicas : iterable of Replica
            All replicas that are listed now.
        outage_seconds : float
            Time for which the list could not be read. The entry of a replica
            may have expired in an outage and be written again shortly, so a
            missing replica is kept for a grace period after a long outage.

        """
        self._has_read = True
        listed = {replica.name: replica for replica in replicas}
        for name in set(self._records) - set(listed):
            if outage_seconds > _MISSING_GRACE_SECONDS:
                until = self._timers.now() + _MISSING_GRACE_SECONDS
                self._missing_until.setdefault(name, until)
            else:
                self._remove(name)
        for replica in listed.values():
            self._update(replica)
        self._notify()

    def change(
        self,
        replicas: Iterable[Replica],
        removed: Iterable[str],
    ) -> None:
        """Update changed replicas, and remove those of the given names."""
        for replica in replicas:
            self._update(replica)
        for name in removed:
            self._remove(name)
        self._notify()

    def update_state(self, replica: Replica) -> None:
        """Update a replica by a state that did not come from the list."""
        record = self._records.get(replica.name)
        if record is not None:
            record.replica = self.departed.correct(replica)
            self._notify()

    def _update(self, listed: Replica) -> None:
        replica = self.departed.correct(listed)
        self._missing_until.pop(replica.name, None)
        record = self._records.get(replica.name)
        if record is None or _is_another_process(record.replica, replica):
            self._add(replica)
        elif replica.is_leaving and not record.replica.is_leaving:
            _record_event(self._timeline, 'replica-leaving', replica)
        self._records[replica.name].update(replica, self._timers.now())
        _replicas_gauge.set(len(self._records))

    def _add(self, replica: Replica) -> None:
        """Add a process, and find out which one has its address now."""
        known = self._records.get(replica.name)
        if known is not None:
            self._addresses.discard(known)
            known.record_end()
        capacity = None
        if self._mode is CapacityMode.learned:
            service = self._services.setdefault(
                replica.service, ServiceCapacity()
            )
            capacity = service.make_replica()
        record = ReplicaRecord(replica, capacity)
        self._records[replica.name] = record
        self._addresses.add(record)
        _record_event(
            self._timeline,
            'replica-listed',
            replica,
            software=replica.software_id,
        )
        latest = self._addresses.find_latest(replica.address) or record
        for earlier in self._addresses.list_earlier(latest):
            if not earlier.has_ended:
                earlier.record_end()
                _record_event(
                    self._timeline,
                    'replica-superseded',
                    earlier.replica,
                    by=latest.name,
                )

    def _remove(self, name: str) -> None:
        self._missing_until.pop(name, None)
        record = self._records.pop(name, None)
        self.capacity_log.drop(name)
        if record is not None:
            self._addresses.discard(record)
            _record_event(self._timeline, 'replica-gone', record.replica)
        _replicas_gauge.set(len(self._records))

    def _drop_missing(self) -> None:
        now = self._timers.now()
        for name, until in tuple(self._missing_until.items()):
            if now >= until:
                self._remove(name)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _is_another_process(known: Replica, replica: Replica) -> bool:
    return (
        known.address != replica.address
        or known.started_at != replica.started_at
        or known.software_version != replica.software_version
        or known.service != replica.service
    )


def _record_event(
    timeline: Timeline, kind: str, replica: Replica, **details: str
) -> None:
    timeline.record(
        kind,
        replica.name,
        service=replica.service,
        address=replica.address,
        **details,
    )
