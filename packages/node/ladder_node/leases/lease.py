"""
A lease from the view of its holder.

References
----------
Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency", SOSP 1989.

"""

from collections.abc import Awaitable, Callable

from ladder_clients.table import Condition
from ladder_core.timers import TimerService
from ladder_node.leases.rows import LEASES_TABLE


class Lease:
    """
    The right to perform one duty until the lease expires.

    Parameters
    ----------
    name : str
        Name of the duty.
    epoch : int
        Fencing token of this acquisition.
    revision : int
        Revision of the lease's row that this acquisition wrote.
    timers : TimerService
        The holder's own clock, on which the expiry is measured.
    release : callable
        Writes the release to the table and ends the lease.

    """

    def __init__(
        self,
        name: str,
        epoch: int,
        revision: int,
        timers: TimerService,
        release: Callable[['Lease', str], Awaitable[None]],
    ) -> None:
        self._name = name
        self._epoch = epoch
        self._revision = revision
        self._timers = timers
        self._release = release
        self._valid_until = timers.now()
        self._acquired_at = timers.now()
        self._is_ended = False

    @property
    def name(self) -> str:
        """Name of the duty."""
        return self._name

    @property
    def epoch(self) -> int:
        """Fencing token, which grows with each acquisition of the lease."""
        return self._epoch

    @property
    def revision(self) -> int:
        """Revision of the lease's row for as long as this node holds it."""
        return self._revision

    @property
    def is_ended(self) -> bool:
        """Whether it was released, found expired, or taken by another node."""
        return self._is_ended

    def is_valid(self) -> bool:
        """Return whether the lease has not expired on this node's clock."""
        return self.remaining() > 0

    def remaining(self) -> float:
        """Return the seconds until the lease expires without a renewal."""
        if self._is_ended:
            return 0
        return max(self._valid_until - self._timers.now(), 0)

    def age(self) -> float:
        """Return the seconds since the lease was acquired."""
        return self._timers.now() - self._acquired_at

    def extend(self, valid_until: float) -> None:
        """
        Extend the validity after a renewal.

        Parameters
        ----------
        valid_until : float
            End of the validity in seconds on the holder's clock; an earlier
            one than before has no effect.

        """
        self._valid_until = max(self._valid_until, valid_until)

    def end(self) -> None:
        """Make the lease invalid permanently."""
        self._is_ended = True

    async def release(self, successor: str = '') -> None:
        """
        Release the lease; an ended lease is left as it is.

        Parameters
        ----------
        successor : str, optional
            Name of the node that is meant to acquire it next; the others leave
            it alone for a moment. Any node by default.

        """
        await self._release(self, successor)


def make_fencing_condition(lease: Lease) -> Condition:
    """
    Return the condition that a lease is still held by its holder.

    Explanation
    -----------
    A duty adds the condition to each of its transactions. The table service
    then refuses writes of a holder that was paused until its lease expired
    and another node acquired it.

    Parameters
    ----------
    lease : Lease
        The lease that protects the transaction.

    Returns
    -------
    Condition
        Holds until the lease is released or acquired again.

    """
    return Condition(LEASES_TABLE, lease.name, lease.revision)
