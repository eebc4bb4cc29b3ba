"""Replica processes that said in their responses that they leave."""

from prometheus_client import Counter

from ladder_clients.replicas import DepartureRecorder
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Replica
from ladder_node.replicas.registry import ReplicaRegistry

_departures_counter = Counter(
    'ladder_replica_departures_total',
    'Replica processes that said in a response that they leave, by what the'
    ' list of replicas said of them',
    ('listed',),
)


class Departures(DepartureRecorder):
    """
    Remember the processes that said that they leave.

    Explanation
    -----------
    A process that leaves never stays, whatever its entry says, also if the
    entry lapses and is written again.

    Parameters
    ----------
    registry : ReplicaRegistry
        Replicas that this node knows; no request is sent to those that leave.
    timers : TimerService
        Clock of the age of entries.
    timeline : Timeline
        Records each process that leaves.

    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._registry = registry
        self._timers = timers
        self._timeline = timeline

    def record_leaving(self, replica: Replica) -> None:
        """Record that a process said that it leaves."""
        if replica in self._registry.departed:
            return
        self._registry.departed.add(replica)
        record = self._registry.find(replica.name)
        listed = 'missing'
        age_seconds: float = 0
        if record and record.replica.started_at == replica.started_at:
            listed = 'leaving' if record.replica.is_leaving else 'ready'
            age_seconds = self._timers.now() - record.listed_at
            self._registry.update_state(record.replica)
        _departures_counter.labels(listed).inc()
        self._timeline.record(
            'replica-said-leaving',
            replica.name,
            service=replica.service,
            address=replica.address,
            started_at=replica.started_at,
            listed=listed,
            listed_age=round(age_seconds, 3),
        )

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether a process said that it leaves, or is listed so."""
        if replica in self._registry.departed:
            return True
        record = self._registry.find(replica.name)
        return (
            record is not None
            and record.replica.started_at == replica.started_at
            and record.replica.is_leaving
        )
