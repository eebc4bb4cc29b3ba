"""Capacity of replicas that answer several kinds of requests."""

import math
from dataclasses import dataclass

from ladder_policy.capacity.learned import LearnedCapacity, LearnedFleet

# Further kinds are taken as one.
_MAX_KINDS = 8
_OTHER_KINDS = ''
_INITIAL_SECONDS = 0.05
# Samples that the estimate of another node counts for, and the most that own
# ones do. Both halve with age, so a stale estimate yields to a recent one.
_RECEIVED_SAMPLES = 2
_MAX_OWN_SAMPLES = 20
_HALF_LIFE_SECONDS = 5
# Received estimates older than this are dropped.
_RECEIVED_TTL_SECONDS = 15
# An estimate with fewer own samples than this, by age, is worth a question.
_ENOUGH_SAMPLES = 4
# Time for which the durations of a replica are of interest after a request.
_INTEREST_SECONDS = 10
# Estimates that are passed on have been measured this lately, and so often.
_RECENT_SECONDS = 5
_MIN_SHARED_SAMPLES = 3
# Own estimates without a measurement for so long are not used, so a replica
# that was slow gets a request that measures it again.
_STALE_SECONDS = 30
# Standard deviations of the logarithm of a time within which nearly all times
# lie, and the ratio of that deviation to the mean deviation.
_QUANTILE_DEVIATIONS = 3
_DEVIATION_RATIO = 1.25


@dataclass(frozen=True, slots=True)
class TimeEstimate:
    """
    Expected duration of a response.

    Attributes
    ----------
    seconds : float
        Expected duration, with the effect of a slow-down in progress.
    samples : float
        Number of samples that it rests on.
    deviation : float
        Mean deviation of the logarithms of the durations.

    Examples
    --------
    >>> round(TimeEstimate(0.1, samples=20, deviation=0.2).upper_seconds, 2)
    0.21

    """

    seconds: float
    samples: float = 1
    deviation: float = 0

    @property
    def standard_error(self) -> float:
        """Standard error of the logarithm of the expected duration."""
        samples = max(self.samples, 1)
        return _DEVIATION_RATIO * self.deviation / math.sqrt(samples)

    @property
    def upper_seconds(self) -> float:
        """Duration that nearly no response exceeds."""
        deviations = _QUANTILE_DEVIATIONS * _DEVIATION_RATIO * self.deviation
        return self.seconds * math.exp(deviations)


@dataclass(frozen=True, slots=True)
class _Received:
    seconds: float
    measured_at: float


class ServiceCapacity:
    """
    Kinds of requests of a service, by which its replicas are compared.

    Examples
    --------
    >>> service = ServiceCapacity()
    >>> replica = service.make_replica()
    >>> replica.estimate('kegs', now=0) is None
    True
    >>> replica.observe('kegs', 0.08, concurrency=1, now=0)
    >>> round(replica.estimate('kegs', now=0).seconds, 3)
    0.08

    """

    def __init__(self) -> None:
        self._fleets: dict[str, LearnedFleet] = {}

    def make_replica(self) -> 'ReplicaCapacity':
        """Return the estimates of a replica without measurements."""
        return ReplicaCapacity(self)

    def bound_kind(self, kind: str) -> str:
        """Return the kind as which a kind of requests is counted."""
        is_known = kind in self._fleets
        if is_known or len(self._fleets) < _MAX_KINDS:
            return kind
        return _OTHER_KINDS

    def make_server(self, kind: str) -> LearnedCapacity:
        """Return estimates of one kind without measurements."""
        fleet = self._fleets.get(kind)
        if fleet is None:
            fleet = LearnedFleet(_INITIAL_SECONDS)
            self._fleets[kind] = fleet
        return LearnedCapacity(fleet)


class ReplicaCapacity:
    """
    Estimates of one replica, by kind of request.

    Parameters
    ----------
    service : ServiceCapacity
        The service that the replica belongs to.

    """

    def __init__(self, service: ServiceCapacity) -> None:
        self._service = service
        self._servers: dict[str, LearnedCapacity] = {}
        self._received: dict[str, _Received] = {}
        self._asked_at = -math.inf

    @property
    def kinds(self) -> dict[str, LearnedCapacity]:
        """Own estimates of this node, by kind of request."""
        return self._servers

    def observe(
        self, kind: str, seconds: float, concurrency: int, now: float
    ) -> None:
        """Add the duration of a response of a kind."""
        kind = self._service.bound_kind(kind)
        server = self._servers.get(kind)
        if server is None:
            server = self._service.make_server(kind)
            self._servers[kind] = server
        server.observe(seconds, concurrency, now)

    def receive(self, kind: str, seconds: float, measured_at: float) -> None:
        """Take the expected duration that another node has measured."""
        kind = self._service.bound_kind(kind)
        if kind in self._received or len(self._received) < _MAX_KINDS:
            self._received[kind] = _Received(seconds, measured_at)

    def needs_samples(self, now: float) -> bool:
        """Return whether few own samples are left of what is asked for."""
        if now - self._asked_at > _INTEREST_SECONDS:
            return False
        return not any(
            _weigh(server, now) >= _ENOUGH_SAMPLES
            for server in self._servers.values()
        )

    def list_recent(self, now: float) -> list[tuple[str, float, float]]:
        """Return kinds with own expected durations and ages in seconds."""
        return [
            (kind, server.estimate(now, 1), now - server.measured_at)
            for kind, server in self._servers.items()
            if now - server.measured_at <= _RECENT_SECONDS
            and server.samples >= _MIN_SHARED_SAMPLES
        ]

    def estimate(self, kind: str, now: float) -> TimeEstimate | None:
        """Return the expected duration; None without a recent measurement."""
        self._asked_at = now
        kind = self._service.bound_kind(kind)
        server = self._servers.get(kind)
        received = self._received.get(kind)
        if received and now - received.measured_at > _RECEIVED_TTL_SECONDS:
            self._received.pop(kind)
            received = None
        if server is None or now - server.measured_at > _STALE_SECONDS:
            return TimeEstimate(received.seconds) if received else None
        own_seconds = server.estimate(now, 1)
        estimate = TimeEstimate(own_seconds, server.samples, server.deviation)
        return _combine(estimate, server, received, now)

    def find_limit(self, kind: str, slots: int, now: float) -> int:
        """Return the number of requests up to which throughput still rises."""
        server = self._servers.get(self._service.bound_kind(kind))
        return server.find_limit(slots, now) if server else slots


def _combine(
    own: TimeEstimate,
    server: LearnedCapacity,
    received: _Received | None,
    now: float,
) -> TimeEstimate:
    """Return the mean of own and received estimates, weighted by samples."""
    if received is None or received.measured_at <= server.measured_at:
        return own
    own_weight = _weigh(server, now)
    received_weight = _RECEIVED_SAMPLES * _age(now - received.measured_at)
    share = received_weight / (own_weight + received_weight)
    difference = math.log(received.seconds / own.seconds)
    return TimeEstimate(
        own.seconds * math.exp(share * difference),
        own.samples,
        own.deviation,
    )


def _weigh(server: LearnedCapacity, now: float) -> float:
    """Return the number of own samples, less by their age."""
    age = _age(now - server.measured_at)
    return min(server.samples, _MAX_OWN_SAMPLES) * age


def _age(seconds: float) -> float:
    return math.pow(2, -max(seconds, 0) / _HALF_LIFE_SECONDS)
