"""
Permits for requests under a rate that many senders share.

References
----------
ATM Forum, "Traffic Management Specification", version 4.1, 1999, section
4.4.2, "Generic Cell Rate Algorithm".

"""

from dataclasses import dataclass

# One permit in four seconds even if the rate is lower, since the end of a limit
# shows only in responses.
_MIN_RATE = 0.25
_BURST_PERMITS = 2
# Applicants that were told to come back are waited for this long after that.
_RETURN_SECONDS = 0.5
_MAX_RETURNS = 1024


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """
    Decision on an application for one permit.

    Attributes
    ----------
    is_granted : bool
        Whether the permit is granted.
    free_seconds : float
        Time until an application of the same priority may be granted; zero if
        this one is.
    retry_seconds : float
        Time after which the applicant should apply again, so that applicants
        return one after the other; zero if the permit is granted.

    """

    is_granted: bool
    free_seconds: float = 0
    retry_seconds: float = 0


class PermitQueue:
    """
    Grant permits at a rate, the more urgent applications first.

    Explanation
    -----------
    Permits for which more urgent applicants have been told to come back are
    kept for them, one for each applicant and priority. A queue begins without a
    burst, as another one may have granted permits of the same rate until then.

    Parameters
    ----------
    rate : float
        Permits per second.
    now : float
        Present time in seconds, on the clock that all later calls use.

    Examples
    --------
    >>> queue = PermitQueue(rate=2, now=0)
    >>> queue.apply('a', priority=0, now=0).is_granted
    True
    >>> queue.apply('a', priority=0, now=0)
    PermitDecision(is_granted=False, free_seconds=0.5, retry_seconds=0.5)
    >>> queue.apply('b', priority=0, now=0)
    PermitDecision(is_granted=False, free_seconds=0.5, retry_seconds=1.0)
    >>> queue.apply('c', priority=1, now=0.5).is_granted
    False
    >>> queue.apply('a', priority=0, now=0.5).is_granted
    True

    """

    def __init__(self, rate: float, now: float) -> None:
        self._interval = _find_interval(rate)
        self._next_at = now
        # Times until which returning applicants are waited for, by applicant
        # and priority.
        self._returns: dict[tuple[str, int], float] = {}

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate of the permits that follow."""
        self._interval = _find_interval(rate)
        self._next_at = min(self._next_at, now + self._interval)

    def apply(
        self, applicant: str, priority: int, now: float
    ) -> PermitDecision:
        """
        Decide on an application for one permit.

        Parameters
        ----------
        applicant : str
            Name of the node that applies.
        priority : int
            Priority of the request; the lowest number is the most urgent.
        now : float
            Present time in seconds.

        """
        self._next_at = max(
            self._next_at, now - (_BURST_PERMITS - 1) * self._interval
        )
        self._forget_late(now)
        self._returns.pop((applicant, priority), None)
        awaited = [other for _, other in self._returns]
        ahead = sum(other < priority for other in awaited)
        free_at = self._next_at + ahead * self._interval
        if free_at <= now:
            self._next_at += self._interval
            return PermitDecision(is_granted=True)
        retry_at = free_at + awaited.count(priority) * self._interval
        if len(self._returns) < _MAX_RETURNS:
            self._returns[applicant, priority] = retry_at + _RETURN_SECONDS
        return PermitDecision(
            is_granted=False,
            free_seconds=free_at - now,
            retry_seconds=retry_at - now,
        )

    def _forget_late(self, now: float) -> None:
        """Forget the applicants that did not return in time."""
        self._returns = {
            key: until for key, until in self._returns.items() if until >= now
        }


def _find_interval(rate: float) -> float:
    return 1 / max(rate, _MIN_RATE)
