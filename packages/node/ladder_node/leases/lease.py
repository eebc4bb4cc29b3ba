"""
A lease as its holder sees it.

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
    The right to do one named duty until the lease runs out.

    Parameters
    ----------
    name : str
        Name of the duty.
    epoch : int
        Fencing token of this acquisition.
    revision : int
        Revision of the lease's row since this acquisition.
    timers : TimerService
        The holder's own clock.
    release : callable
        Gives the lease back.

    """

    def __init__(
        self,
        name: str,
        epoch: int,
        revision: int,
        timers: TimerService,
        release: Callable[['Lease'], Awaitable[None]],
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
        """Fencing token: higher for each later acquisition of the name."""
        return self._epoch

    @property
    def revision(self) -> int:
        """Revision of the lease's row while this acquisition lasts."""
        return self._revision

    @property
    def is_ended(self) -> bool:
        """Whether it was released, or is known to be another holder's."""
        return self._is_ended

    def is_valid(self) -> bool:
        """Whether the lease is held now, by this node's own clock."""
        return self.remaining() > 0

    def remaining(self) -> float:
        """Return the seconds until the lease runs out unless renewed."""
        if self._is_ended:
            return 0
        return max(self._valid_until - self._timers.now(), 0)

    def age(self) -> float:
        """Return the seconds since the lease was acquired."""
        return self._timers.now() - self._acquired_at

    def extend(self, valid_until: float) -> None:
        """
        Take note of a renewal.

        Parameters
        ----------
        valid_until : float
            Seconds on the holder's clock.

        """
        self._valid_until = max(self._valid_until, valid_until)

    def end(self) -> None:
        """Make the lease invalid for good."""
        self._is_ended = True

    async def release(self) -> None:
        """Give the lease back; an ended lease is left as it is."""
        await self._release(self)


def make_fencing_condition(lease: Lease) -> Condition:
    """
    Return the condition that a lease has not changed hands.

    Explanation
    -----------
    A duty adds it to each of its transactions, so that the write of a holder
    that was paused beyond its lease is refused by the table service.

    Parameters
    ----------
    lease : Lease
        The lease under which the duty writes.

    Returns
    -------
    Condition
        Holds until another acquisition or the release of the lease.

    """
    return Condition(LEASES_TABLE, lease.name, lease.revision)
