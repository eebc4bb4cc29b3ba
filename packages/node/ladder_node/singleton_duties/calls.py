"""Calls that a duty makes only under a valid lease."""

from collections.abc import Awaitable, Callable

from ladder_clients.cloud import CallOutcome, DutyHolder
from ladder_core.errors import NotRunError
from ladder_core.timers import TimerService
from ladder_node.leases import Lease

# A lease that expires sooner allows no call. The time covers the connection
# that a call may have to make first.
_MIN_REMAINING_SECONDS = 0.7
_LAPSE_INTERVAL_SECONDS = 0.05
_MAX_WAIT_SECONDS = 0.5

DutyCall = Callable[[DutyHolder], Awaitable[CallOutcome]]


class DutyLostError(NotRunError):
    """The lease of the duty is not valid any more."""

    kind = 'duty-lost'


class DutyRefusedError(DutyLostError):
    """A call was refused because of a later holder of the duty."""

    kind = 'duty-refused'


class DutyCalls:
    """
    Make the calls of a duty under one acquisition of its lease.

    Parameters
    ----------
    node : str
        Name of this node, which the calls name as the holder.
    lease : Lease
        Lease of the duty; its epoch is the token of all calls.
    timers : TimerService
        Clock of the waiting times.
    handover_seconds : float
        Time for which a call without a response may still take effect.
    wait_seconds : float
        Time from the acquisition of the lease to the first call, in which
        the calls under earlier tokens have taken effect.

    """

    def __init__(
        self,
        node: str,
        lease: Lease,
        timers: TimerService,
        handover_seconds: float,
        wait_seconds: float,
    ) -> None:
        self._lease = lease
        self._holder = DutyHolder(node, lease.epoch)
        self._timers = timers
        self._handover_seconds = handover_seconds
        self._wait_seconds = wait_seconds
        self._unanswered_at: float | None = None

    @property
    def lease(self) -> Lease:
        """Lease of the duty."""
        return self._lease

    def first_call_wait(self) -> float:
        """Return the seconds until the first call may be made."""
        return max(self._wait_seconds - self._lease.age(), 0)

    def unsettled_seconds(self) -> float:
        """Return the seconds for which a call up to now may take effect."""
        wait_seconds = self.first_call_wait()
        if self._unanswered_at is None:
            return wait_seconds
        unanswered_seconds = self._timers.now() - self._unanswered_at
        return max(self._handover_seconds - unanswered_seconds, wait_seconds)

    async def make(self, call: DutyCall) -> CallOutcome:
        """
        Make a call, after the waiting time and only under a valid lease.

        Explanation
        -----------
        A lease that has lapsed because the store is slow is valid again after
        its next renewal, so the call waits for that.

        Parameters
        ----------
        call : callable
            Makes the call on behalf of the holder that it is given.

        Raises
        ------
        DutyLostError
            The lease has ended; no call was made.

        """
        while self.first_call_wait() > 0:
            self._require_lease()
            await self._timers.sleep(
                min(self.first_call_wait(), _MAX_WAIT_SECONDS)
            )
        while self._lease.remaining() <= _MIN_REMAINING_SECONDS:
            self._require_lease()
            await self._timers.sleep(_LAPSE_INTERVAL_SECONDS)
        unanswered_at = self._unanswered_at
        # A call that is cancelled counts as unanswered, too.
        self._unanswered_at = self._timers.now()
        outcome = await call(self._holder)
        self._unanswered_at = (
            self._timers.now()
            if outcome is CallOutcome.unknown
            else unanswered_at
        )
        return outcome

    def _require_lease(self) -> None:
        if self._lease.is_ended:
            raise DutyLostError(
                f'the lease of {self._lease.name} has ended',
                remedy='wait until this node acquires it again',
            )
