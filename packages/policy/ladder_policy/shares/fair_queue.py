"""
Fair queueing of requests to a service that lacks room.

References
----------
Goyal, Vin and Cheng, "Start-time fair queueing: a scheduling algorithm for
integrated services packet switching networks", IEEE/ACM Transactions on
Networking, 1997.

"""

from dataclasses import dataclass, field

from ladder_policy.shares.concurrency import ContentionLimit

# Weight of the newest duration in the running mean.
_SMOOTHING_FACTOR = 0.1
# Duration of a request before the first one has ended.
_INITIAL_SECONDS = 0.05
# An organisation that got more elsewhere waits here for at most this many
# requests of others, so that it is never shut out by what a peer reports.
_MAX_HANDICAP = 8
_MIN_RETRY_SECONDS = 0.05
# Requests that were told to come back are expected within this time.
_MAX_RETRY_SECONDS = 5


@dataclass(slots=True, eq=False)
class Claim:
    """
    A request that needs room at a service.

    Attributes
    ----------
    party : str
        Organisation that shares are given to.
    priority : int
        Priority of the request; zero is the highest.
    deadline : float
        Time in seconds at which the caller stops waiting.
    started_at : float or None
        Time in seconds at which it got room; None while it waits.

    """

    party: str
    priority: int
    deadline: float
    started_at: float | None = None
    start_tag: float = field(default=0, repr=False)


@dataclass(frozen=True, slots=True)
class Refusal:
    """
    A claim that can't be served in time.

    Attributes
    ----------
    retry_seconds : float
        Time after which the request should be sent again. Requests that are
        refused one after the other return one after the other.
    reason : str
        ``late`` if it could not start in time, ``crowded`` if its organisation
        has too many waiting requests.

    """

    retry_seconds: float
    reason: str


class FairQueue:
    """
    Give the room at one service to organisations in turn.

    Explanation
    -----------
    While a replica refuses requests, the requests of a node at the service are
    limited. Those above the limit wait: the more urgent first, and among
    equally urgent ones those of the organisation that was served least, so that
    the burst of one organisation delays its own requests only. Nobody waits
    while there is room, and an organisation that asks for nothing keeps none.

    A request that would start too late to be served in time is refused before
    it waits.

    Parameters
    ----------
    max_waiting : int, optional
        Largest number of waiting requests of one organisation.

    Examples
    --------
    >>> queue = FairQueue()
    >>> claims = [Claim('large', 1, deadline=9) for _ in range(4)]
    >>> [queue.add(claim, now=0) for claim in claims]
    [None, None, None, None]
    >>> queue.record_full(now=0)
    >>> small = Claim('small', 1, deadline=9)
    >>> late = Claim('large', 1, deadline=9)
    >>> queue.add(late, now=0), queue.add(small, now=0)
    (None, None)
    >>> for claim in claims[:2]:
    ...     queue.release(claim, now=0.1, is_success=True)
    >>> queue.start_waiting(now=0.1)[0] is small
    True

    """

    def __init__(self, max_waiting: int = 64) -> None:
        self._max_waiting = max_waiting
        self._limit = ContentionLimit()
        self._waiting: list[Claim] = []
        self._in_flight = 0
        self._mean_seconds = _INITIAL_SECONDS
        self._virtual_time: float = 0
        self._finish_tags: dict[str, float] = {}
        self._next_return: float = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that have room."""
        return self._in_flight

    @property
    def mean_seconds(self) -> float:
        """Mean duration of a request at the service."""
        return self._mean_seconds

    @property
    def waiting(self) -> int:
        """Number of requests that wait for room."""
        return len(self._waiting)

    def is_contended(self, now: float) -> bool:
        """Return whether replicas have refused requests recently."""
        return bool(self._waiting) or self._limit.find(now) < float('inf')

    def add(self, claim: Claim, now: float) -> Refusal | None:
        """
        Add a claim: it starts, waits, or is refused.

        Parameters
        ----------
        claim : Claim
            The claim; its `started_at` is set if it starts.
        now : float
            Present time in seconds.

        Returns
        -------
        Refusal or None
            Why the claim can't be served; None if it starts or waits.

        """
        if not self._waiting and self._in_flight < self._limit.find(now):
            self._tag(claim)
            self._start(claim, now)
            return None
        refusal = self._find_refusal(claim, now)
        if refusal is None:
            self._tag(claim)
            self._waiting.append(claim)
        return refusal

    def release(self, claim: Claim, now: float, is_success: bool) -> None:
        """
        Give back the room of a claim, or withdraw one that waits.

        Parameters
        ----------
        claim : Claim
            The claim.
        now : float
            Present time in seconds.
        is_success : bool
            Whether a replica has served the request.

        """
        if claim.started_at is None:
            self._waiting = [
                other for other in self._waiting if other is not claim
            ]
            return
        self._in_flight -= 1
        if is_success:
            seconds = now - claim.started_at
            self._mean_seconds += _SMOOTHING_FACTOR * (
                seconds - self._mean_seconds
            )
            self._limit.record_success()

    def record_full(self, now: float) -> None:
        """Record that a replica refused a request because it is full."""
        self._limit.record_full(self._in_flight, now)

    def start_waiting(self, now: float) -> list[Claim]:
        """Start the waiting claims for which there is room; return them."""
        started = []
        limit = self._limit.find(now)
        while self._waiting and self._in_flight < limit:
            claim = min(self._waiting, key=_rank)
            self._waiting.remove(claim)
            self._start(claim, now)
            started.append(claim)
        if not self._waiting and not self._in_flight:
            self._finish_tags.clear()
        return started

    def handicap(self, served_elsewhere: dict[str, int]) -> None:
        """
        Take into account what other nodes have served.

        Parameters
        ----------
        served_elsewhere : dict of str to int
            Requests of each organisation that other nodes have started since
            the last call.

        """
        least = min(
            (served_elsewhere.get(claim.party, 0) for claim in self._waiting),
            default=0,
        )
        parties = {claim.party for claim in self._waiting}
        for party in parties:
            claims = [claim for claim in self._waiting if claim.party == party]
            # Reports add up to no more than the largest handicap.
            first_tag = min(claim.start_tag for claim in claims)
            room = self._virtual_time + _MAX_HANDICAP - first_tag
            extra = min(served_elsewhere.get(party, 0) - least, max(room, 0))
            for claim in claims:
                claim.start_tag += extra
            self._finish_tags[party] = self._finish_tags.get(party, 0) + extra

    def _tag(self, claim: Claim) -> None:
        finish = self._finish_tags.get(claim.party, 0)
        claim.start_tag = max(self._virtual_time, finish)
        self._finish_tags[claim.party] = claim.start_tag + 1

    def _start(self, claim: Claim, now: float) -> None:
        claim.started_at = now
        self._in_flight += 1
        self._virtual_time = max(self._virtual_time, claim.start_tag)

    def _find_refusal(self, claim: Claim, now: float) -> Refusal | None:
        own = sum(other.party == claim.party for other in self._waiting)
        seconds = self._estimate_wait(claim, own, now)
        excess = now + seconds + self._mean_seconds - claim.deadline
        if excess > 0:
            return Refusal(self._find_return(excess, now), 'late')
        if own >= self._max_waiting:
            return Refusal(self._find_return(seconds, now), 'crowded')
        return None

    def _estimate_wait(self, claim: Claim, own: int, now: float) -> float:
        """Return the expected seconds until a new claim of a party starts."""
        urgent = sum(other.priority < claim.priority for other in self._waiting)
        rivals: dict[str, int] = {}
        for other in self._waiting:
            if other.priority == claim.priority and other.party != claim.party:
                rivals[other.party] = rivals.get(other.party, 0) + 1
        # Each rival gets at most as many turns as this party until its turn.
        ahead = sum(min(count, own + 1) for count in rivals.values())
        return (urgent + ahead + own + 1) / self._find_rate(now)

    def _find_rate(self, now: float) -> float:
        """Return the requests per second that are served."""
        limit = min(self._limit.find(now), max(self._in_flight, 1))
        return limit / self._mean_seconds

    def _find_return(self, seconds: float, now: float) -> float:
        """Return when a refused request should return, one after the other."""
        earliest = now + max(seconds, _MIN_RETRY_SECONDS)
        latest = now + _MAX_RETRY_SECONDS
        step = 1 / self._find_rate(now)
        if self._next_return > latest:
            self._next_return = earliest
        self._next_return = max(self._next_return + step, earliest)
        return min(self._next_return, latest) - now


def _rank(claim: Claim) -> tuple[int, float]:
    return (claim.priority, claim.start_tag)
