"""Replicas of one kind in one data centre, with the order made for them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ladder_clients.cloud import CallOutcome
from ladder_node.replicas import ReplicaRecord
from ladder_policy.scaling import OrderBackoff, PoolState

# Time beyond the boot time until the effect of an order is listed: the call,
# which may take effect late, and the feed of replicas.
_SETTLE_SECONDS = 3
# Pause after a call that took no effect, for example above the rate limit.
_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class _Order:
    """An order that has been sent."""

    count: int
    settles_at: float = 0
    is_answered: bool = False


class ReplicaPool:
    """
    Remember the last order until its effect can be seen in the list.

    Explanation
    -----------
    Until then the number that was ordered counts, so that the order is not
    repeated. Later the listed replicas count: an order without an effect, or
    one that an older call without an answer has undone, is made again if the
    number is still wanted.
    """

    def __init__(self) -> None:
        self._order: _Order | None = None
        self._backoff = OrderBackoff()
        self._retry_at: float = 0
        self._is_sending = False

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent now."""
        return not self._is_sending and now >= self._retry_at

    def begin_order(self, count: int) -> None:
        """Record that an order is about to be sent."""
        self._is_sending = True
        self._order = _Order(count)

    def end_order(
        self, outcome: CallOutcome, now: float, boot_seconds: float
    ) -> None:
        """Record the outcome of the order that was sent."""
        self._is_sending = False
        order = self._order
        self._order = None
        if outcome is CallOutcome.refused:
            self._backoff.record_refusal(now)
        elif order and outcome in {CallOutcome.done, CallOutcome.unknown}:
            self._order = _Order(
                order.count,
                now + boot_seconds + _SETTLE_SECONDS,
                is_answered=outcome is CallOutcome.done,
            )
        else:
            self._retry_at = now + _RETRY_SECONDS

    def make_state(
        self,
        records: Iterable[ReplicaRecord],
        running: Mapping[str, int],
        now: float,
    ) -> PoolState:
        """
        Return the state of the replicas.

        Parameters
        ----------
        records : iterable of ReplicaRecord
            The listed replicas of this kind in this data centre.
        running : mapping of str to int
            Number of tasks that run on each replica.
        now : float
            Present time in seconds.

        """
        listed = list(records)
        leaving = [record for record in listed if record.replica.is_leaving]
        serving = [record for record in listed if record not in leaving]
        count = self._find_count(len(serving), now)
        return PoolState(
            serving=min(len(serving), count),
            booting=max(count - len(serving), 0),
            leaving=len(leaving),
            reclaimed=sum(record.leaves_at is not None for record in leaving),
            running=sum(running.get(record.name, 0) for record in serving),
            is_blocked=self._backoff.is_blocked(now),
        )

    def _find_count(self, serving: int, now: float) -> int:
        """Return the number that there are or will be by the last order."""
        order = self._order
        if order is None:
            return serving
        if not self._is_sending and now >= order.settles_at:
            self._settle(order, serving, now)
            return serving
        return order.count

    def _settle(self, order: _Order, serving: int, now: float) -> None:
        self._order = None
        if serving >= order.count:
            self._backoff.record_success()
        elif order.is_answered:
            # The platform accepted the order and has no such replicas.
            self._backoff.record_refusal(now)
