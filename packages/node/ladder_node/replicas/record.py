"""Record of one replica: its listed state and this node's experience."""

from ladder_core.values import Replica
from ladder_policy.capacity import ReplicaCapacity
from ladder_policy.routing import FailureBackoff, SuccessRate

# Weight of the newest duration in the running mean.
_SMOOTHING_FACTOR = 0.2
# Failures over a shorter time may be due to a single lost response.
_FAILING_SECONDS = 0.8


class ReplicaRecord:
    """
    State and health of one replica as observed by this node.

    Parameters
    ----------
    replica : Replica
        Latest state that the replica has published.
    capacity : ReplicaCapacity, optional
        Learns the durations of its responses; None if they are not learned.

    Attributes
    ----------
    replica : Replica
        Latest state, corrected by what this node knows better.
    capacity : ReplicaCapacity or None
        What is learned of the durations of its responses.
    in_flight : int
        Number of requests of this node that are in flight at the replica.
    bytes_in_flight : int
        Bytes of the bodies of these requests.
    listed_at : float
        Time in seconds at which its entry was read last.
    leaves_at : float or None
        Time in seconds at which the platform takes the replica back; None
        unless it has announced that. The delay of the entry comes on top.

    """

    def __init__(
        self, replica: Replica, capacity: ReplicaCapacity | None = None
    ) -> None:
        self.replica = replica
        self.capacity = capacity
        self.in_flight = 0
        self.bytes_in_flight = 0
        self.listed_at: float = 0
        self.leaves_at: float | None = None
        self._has_ended = False
        self._backoff = FailureBackoff()
        self._rate = SuccessRate()
        self._mean_seconds: float | None = None
        self._paused_until: float = 0
        self._failing_since: float | None = None

    @property
    def name(self) -> str:
        """Name of the replica."""
        return self.replica.name

    @property
    def has_ended(self) -> bool:
        """Whether a later process is known to have the address."""
        return self._has_ended

    @property
    def mean_seconds(self) -> float | None:
        """Running mean of the durations of responses; None before the first."""
        return self._mean_seconds

    def update(self, listed: Replica, now: float) -> None:
        """
        Update the state by the entry of the same process.

        An entry that is read again says the same remaining time as before, so
        the earliest time counts.
        """
        self.replica = listed
        self.listed_at = now
        if listed.leaves_in_seconds is None:
            self.leaves_at = None
            return
        leaves_at = now + listed.leaves_in_seconds
        known = leaves_at if self.leaves_at is None else self.leaves_at
        self.leaves_at = min(known, leaves_at)

    def is_healthy(self, now: float) -> bool:
        """Return whether the replica answers and few of its requests fail."""
        return self._backoff.is_healthy and not self._rate.is_outlier(now)

    def allows(self, now: float) -> bool:
        """Return whether a new request may be sent to the replica."""
        return (
            not self.replica.is_leaving
            and not self._has_ended
            and now >= self._paused_until
            and self._backoff.allows(now)
        )

    def is_failing(self, now: float) -> bool:
        """Return whether all requests have failed for some time."""
        if self._failing_since is None:
            return False
        return now - self._failing_since > _FAILING_SECONDS

    def forget_failures(self) -> None:
        """Forget failures that were due to the path of this host."""
        self._backoff.record_success()
        self._rate = SuccessRate()
        self._failing_since = None

    def record_end(self) -> None:
        """Record that the process has ended, although it is still listed."""
        self._has_ended = True

    def pause(self, until: float) -> None:
        """Allow no request before a time, since the replica was full."""
        self._paused_until = max(self._paused_until, until)

    def record_failed_response(self, now: float) -> None:
        """Record a response that reports a failed run."""
        self._backoff.record_success()
        self._rate.record_outcome(is_success=False, now=now)

    def record_success(
        self, seconds: float, now: float, kind: str | None = None
    ) -> None:
        """
        Record a successful response and its duration in seconds.

        Parameters
        ----------
        seconds : float
            Duration of the request.
        now : float
            Time in seconds at which it ended.
        kind : str, optional
            Kind of the request, whose durations are learned; None for a text,
            whose duration depends on its length.

        """
        if kind is not None:
            self._learn(kind, seconds, now)
        self._backoff.record_success()
        self._rate.record_outcome(is_success=True, now=now)
        self._failing_since = None
        if self._mean_seconds is None:
            self._mean_seconds = seconds
        else:
            self._mean_seconds += _SMOOTHING_FACTOR * (
                seconds - self._mean_seconds
            )

    def record_abandoned(self, seconds: float, now: float, kind: str) -> None:
        """Record a request that had no response after some seconds."""
        self._learn(kind, seconds, now)

    def record_failure(self, now: float, is_unreachable: bool = False) -> None:
        """
        Record a request that failed.

        The replica is rested at once if nothing could be sent to it, or if its
        response had no end.
        """
        self._backoff.record_failure(now, is_unreachable)
        self._rate.record_outcome(is_success=False, now=now)
        if self._failing_since is None:
            self._failing_since = now

    def _learn(self, kind: str, seconds: float, now: float) -> None:
        if self.capacity is not None:
            self.capacity.observe(kind, seconds, self.in_flight + 1, now)
