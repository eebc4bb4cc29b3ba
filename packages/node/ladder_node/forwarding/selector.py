"""Select the replica to which a request is sent next."""

import random
from collections.abc import Mapping

from ladder_clients.replicas import PermitDenial, ReplicaClient
from ladder_core.timers import TimerService
from ladder_core.values import Route
from ladder_node.replicas import ReplicaRecord, ReplicaRegistry
from ladder_policy.routing import ForwardCandidate, choose_forward_target

_SAME_REGION_DISTANCE = 1
_OTHER_REGION_DISTANCE = 2
# Number of durations from which a time limit is derived.
_MIN_LIMIT_SAMPLES = 20


class ReplicaSelector:
    """
    Select a service of a route, and a replica of the service.

    Parameters
    ----------
    registry : ReplicaRegistry
        Replicas that this node knows.
    client : ReplicaClient
        Counts the idle connections to each replica.
    data_centre : str
        Data centre of this node.
    regions : mapping of str to str
        Region of each data centre, for the distance to replicas.
    timers : TimerService
        Clock by which replicas are paused.

    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        client: ReplicaClient,
        data_centre: str,
        regions: Mapping[str, str],
        timers: TimerService,
    ) -> None:
        self._registry = registry
        self._client = client
        self._data_centre = data_centre
        self._regions = regions
        self._timers = timers
        self._random = random.Random()  # noqa: S311 no secret is drawn

    def choose_service(self, route: Route) -> str:
        """Draw a service of the route at random, by the weights."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._random.choices(route.shares, weights)[0].service

    def select(
        self,
        service: str,
        tried: set[str],
        priority: int,
        software_id: str = '',
        kind: str = '',
    ) -> ReplicaRecord | None:
        """
        Return the replica to send to, or None if no replica accepts requests.

        Parameters
        ----------
        service : str
            Name of the service whose replicas are considered.
        tried : set of str
            Names of replicas that the request was sent to. They are used
            again only if there is no other replica.
        priority : int
            Priority of the request, for replicas that limit their requests.
        software_id : str, optional
            Software that the replica has to run; empty for any.
        kind : str, optional
            Kind of the request, by which durations are learned.

        """
        allowed = {
            record.name: record
            for record in self._list_allowed(service)
            if self._client.find_denial(record.replica, priority) is None
            and software_id in {'', record.replica.software_id}
        }
        names = set(allowed) - tried or set(allowed)
        chosen = choose_forward_target(
            self._describe(allowed[name], kind) for name in names
        )
        return allowed[chosen.name] if chosen else None

    def has_other(self, service: str, tried: set[str], priority: int) -> bool:
        """Return whether there is a usable replica that was not tried."""
        return any(
            record.name not in tried
            and self._client.find_denial(record.replica, priority) is None
            for record in self._list_allowed(service)
        )

    def find_response_limit(
        self, service: str, tried: set[str], kind: str
    ) -> float | None:
        """
        Return the time within which a replica that was not tried responds.

        Returns
        -------
        float or None
            The shortest time in seconds that nearly no response of one of
            these replicas exceeds; None if it has not been learned.

        """
        now = self._timers.now()
        estimates = [
            record.capacity.estimate(kind, now)
            for record in self._list_allowed(service)
            if record.capacity and record.name not in tried
        ]
        return min(
            (
                estimate.upper_seconds
                for estimate in estimates
                if estimate and estimate.samples >= _MIN_LIMIT_SAMPLES
            ),
            default=None,
        )

    def find_denial(self, service: str, priority: int) -> PermitDenial | None:
        """
        Return the denial of the replica that permits a request first.

        Returns
        -------
        PermitDenial or None
            None if a replica takes requests without a permit, or none at all.

        """
        denials = [
            self._client.find_denial(record.replica, priority)
            for record in self._list_allowed(service)
        ]
        found = [denial for denial in denials if denial is not None]
        if len(found) < len(denials):
            return None
        return min(found, key=lambda denial: denial.retry_seconds, default=None)

    def _list_allowed(self, service: str) -> list[ReplicaRecord]:
        """Return the replicas of a service that are usable but for limits."""
        now = self._timers.now()
        return [
            record
            for record in self._registry.list_service(service)
            if record.allows(now)
        ]

    def _describe(self, record: ReplicaRecord, kind: str) -> ForwardCandidate:
        replica = record.replica
        now = self._timers.now()
        slots = replica.slots
        learned = None
        if record.capacity is not None:
            slots = record.capacity.find_limit(kind, slots, now)
            learned = record.capacity.estimate(kind, now)
        return ForwardCandidate(
            name=record.name,
            in_flight=record.in_flight,
            slots=slots,
            distance=self._find_distance(replica.data_centre),
            idle_connections=self._client.count_idle(replica),
            mean_seconds=None if record.capacity else record.mean_seconds,
            is_limited=self._client.find_rate(replica) is not None,
            is_healthy=record.is_healthy(now),
            learned=learned,
        )

    def _find_distance(self, data_centre: str) -> int:
        if data_centre == self._data_centre:
            return 0
        own = self._regions.get(self._data_centre)
        if self._regions.get(data_centre) == own:
            return _SAME_REGION_DISTANCE
        return _OTHER_REGION_DISTANCE
