"""
Rate limits of replicas, kept by all nodes together.

Explanation
-----------
One live node issues the permits of a limited process, and all others apply to
it for each request. Which node it is follows from the list of live nodes by
rendezvous hashing, so nothing has to be agreed on. While the nodes disagree on
the list, or the issuer doesn't answer, no permits are granted.

"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable, Sequence

import xxhash
from prometheus_client import Counter

from ladder_clients.replicas import (
    CallKind,
    PermitDenial,
    RateLimiter,
    Reservation,
)
from ladder_core.errors import TargetLimitedError
from ladder_core.supervision import Component
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_core.values import Replica
from ladder_node.members import Member
from ladder_node.rate_limits.issuer import (
    PermitApplication,
    PermitIssuer,
    PermitOutcome,
    PermitReply,
)
from ladder_node.rate_limits.known import (
    KnownLimit,
    KnownLimits,
    ProcessKey,
    make_process_key,
)
from ladder_node.rate_limits.peers import PermitSender
from ladder_node.rate_limits.permits import Denial, ProcessPermits

_MISDIRECTED = PermitReply(PermitOutcome.misdirected)
# A permit that is not used within this time has expired.
_PERMIT_SECONDS = 0.5
# Pause after an application without a decision.
_UNDECIDED_PAUSE_SECONDS = 0.5
_MAX_RETRY_SECONDS = 5
# A node that was denied waits for its turn, but no longer than this, since
# those before it may not return.
_MAX_PAUSE_SECONDS = 3
_MAX_PROCESSES = 1024

_permits_counter = Counter(
    'ladder_permits_total',
    'Permits for requests to limited replicas that this node applied for',
    ('outcome',),
)


class SharedRateLimiter(RateLimiter, Component):
    """
    Apply for a permit before each request to a limited replica.

    Explanation
    -----------
    A node that sees a limit end tells the issuer, which tells the applicants
    that follow.

    Parameters
    ----------
    node : str
        Name of this node.
    list_members : callable
        Returns the live nodes.
    sender : PermitSender
        Sends applications to other nodes.
    timers : TimerService
        Clock of the permits.
    timeline : Timeline
        Records changes of limits, and denials.

    """

    def __init__(
        self,
        node: str,
        list_members: Callable[[], Sequence[Member]],
        sender: PermitSender,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._node = node
        self._list_members = list_members
        self._sender = sender
        self._timers = timers
        self._timeline = timeline
        self._known = KnownLimits(timers, timeline)
        self._issuer = PermitIssuer(self._known, timers)
        self._permits: dict[ProcessKey, ProcessPermits] = {}
        self._notices: set[asyncio.Task[PermitReply]] = set()
        self._random = random.Random()  # noqa: S311 no secret is drawn

    async def start(self) -> None:
        """Do nothing; permits are applied for when they are needed."""

    async def close(self) -> None:
        """Cancel the notices of ended limits."""
        for notice in tuple(self._notices):
            notice.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await notice

    def record(self, replica: Replica, rate: float | None) -> None:
        """Record the rate that a response names; None if it names none."""
        has_ended = rate is None and self._known.find(replica) is not None
        self._known.record(replica, rate)
        if has_ended:
            key = make_process_key(replica)
            self._permits.pop(key, None)
            notice = asyncio.ensure_future(
                self._apply(PermitApplication(self._node, key, None, 0, 0))
            )
            self._notices.add(notice)
            notice.add_done_callback(self._notices.discard)

    def find_rate(self, replica: Replica) -> float | None:
        """Return the requests a second that a replica limits, or None."""
        limit = self._known.find(replica)
        return limit.rate if limit else None

    def find_denial(
        self, replica: Replica, priority: int
    ) -> PermitDenial | None:
        """
        Return why no request of a priority may be sent; None if it may.

        The denial of a request holds for all that are less urgent.
        """
        limit = self._known.find(replica)
        permits = self._permits.get(make_process_key(replica))
        if limit is None or permits is None:
            return None
        now = self._timers.now()
        active = [
            denial
            for denied, denial in permits.denials.items()
            if denied <= priority and now < denial.ends_at
        ]
        if not active:
            return None
        denial = max(active, key=lambda one: one.ends_at)
        spread_seconds = 1 / max(limit.rate, 1 / _MAX_RETRY_SECONDS)
        retry_seconds = denial.retry_at - now
        retry_seconds += self._random.random() * spread_seconds
        return PermitDenial(limit.rate, min(retry_seconds, _MAX_RETRY_SECONDS))

    @contextlib.asynccontextmanager
    async def reserve(
        self, replica: Replica, kind: CallKind, priority: int
    ) -> AsyncIterator[Reservation]:
        """Reserve the right to write one request to a replica."""
        limit = self._known.find(replica)
        expires_at = None
        if limit is not None:
            expires_at = await self._obtain(replica, limit, priority)
        reservation = _LimitedReservation(self, replica, kind, expires_at)
        try:
            yield reservation
        finally:
            if expires_at is not None and not reservation.is_used:
                self._find_permits(replica).unused.append(expires_at)

    def decide(self, application: PermitApplication) -> PermitReply:
        """Decide on the application of another node."""
        issuer = self._find_issuer(application.process)
        if issuer is None or issuer.name != self._node:
            return _MISDIRECTED
        return self._issuer.decide(application)

    def begin(
        self, replica: Replica, kind: CallKind, expires_at: float | None
    ) -> None:
        """
        Count a request that is about to be written.

        Parameters
        ----------
        replica : Replica
            Replica that the request is for.
        kind : CallKind
            Kind of the request.
        expires_at : float or None
            Expiry time of its permit in seconds; None if it has none.

        Raises
        ------
        TargetLimitedError
            The replica limits its rate, and there is no valid permit.

        """
        limit = self._known.find(replica)
        if limit is None:
            return
        if expires_at is None or expires_at < self._timers.now():
            raise _make_error(replica, PermitDenial(limit.rate, 0))
        self._known.count(replica, kind)

    async def _obtain(
        self, replica: Replica, limit: KnownLimit, priority: int
    ) -> float | None:
        """Return the expiry time of a permit; None if the limit has ended."""
        now = self._timers.now()
        unused = self._find_permits(replica).unused
        while unused:
            expires_at = unused.pop()
            if expires_at > now:
                return expires_at
        denial = self.find_denial(replica, priority)
        if denial is not None:
            raise _make_error(replica, denial)
        application = PermitApplication(
            self._node,
            make_process_key(replica),
            limit.rate,
            now - limit.named_at,
            priority,
        )
        reply = await self._apply(application)
        _permits_counter.labels(reply.outcome).inc()
        if reply.outcome is PermitOutcome.granted:
            return now + _PERMIT_SECONDS
        if reply.outcome is PermitOutcome.unlimited:
            self._known.record(replica, None)
            return None
        raise self._deny(replica, limit, priority, reply)

    async def _apply(self, application: PermitApplication) -> PermitReply:
        issuer = self._find_issuer(application.process)
        if issuer is None:
            return _MISDIRECTED
        if issuer.name == self._node:
            return self._issuer.decide(application)
        reply = await self._sender.send(issuer.peer_address, application)
        return reply or _MISDIRECTED

    def _deny(
        self,
        replica: Replica,
        limit: KnownLimit,
        priority: int,
        reply: PermitReply,
    ) -> TargetLimitedError:
        """Record a denial, and return its error."""
        now = self._timers.now()
        free_seconds = reply.free_seconds
        retry_seconds = reply.retry_seconds
        if reply.outcome is PermitOutcome.misdirected:
            free_seconds = _UNDECIDED_PAUSE_SECONDS
            retry_seconds = _UNDECIDED_PAUSE_SECONDS
        pause_seconds = max(
            free_seconds, min(retry_seconds, _MAX_PAUSE_SECONDS)
        )
        self._find_permits(replica).denials[priority] = Denial(
            now + pause_seconds, now + retry_seconds
        )
        self._timeline.record(
            'permit-denied',
            replica.name,
            service=replica.service,
            rate=limit.rate,
            rate_age=round(now - limit.named_at, 3),
            priority=priority,
            outcome=reply.outcome,
            free_in=round(free_seconds, 3),
            retry_in=round(retry_seconds, 3),
        )
        return _make_error(
            replica,
            PermitDenial(limit.rate, min(retry_seconds, _MAX_RETRY_SECONDS)),
        )

    def _find_permits(self, replica: Replica) -> ProcessPermits:
        if len(self._permits) > _MAX_PROCESSES:
            self._permits.pop(next(iter(self._permits)))
        return self._permits.setdefault(
            make_process_key(replica), ProcessPermits()
        )

    def _find_issuer(self, process: ProcessKey) -> Member | None:
        """Return the node that issues the permits of a process, if known."""
        name, started_at = process

        def rank(member: Member) -> int:
            weight = f'{name}\n{started_at}\n{member.name}'.encode()
            return xxhash.xxh3_64_intdigest(weight)

        members = (
            member for member in self._list_members() if not member.is_leaving
        )
        return max(members, key=rank, default=None)


class _LimitedReservation(Reservation):
    """The right to write one request, with the permit that it needs."""

    def __init__(
        self,
        limiter: SharedRateLimiter,
        replica: Replica,
        kind: CallKind,
        expires_at: float | None,
    ) -> None:
        self.is_used = False
        self._limiter = limiter
        self._replica = replica
        self._kind = kind
        self._expires_at = expires_at

    def use(self) -> None:
        """Use the reservation right before the request is written."""
        self._limiter.begin(self._replica, self._kind, self._expires_at)
        self.is_used = True


def _make_error(replica: Replica, denial: PermitDenial) -> TargetLimitedError:
    return TargetLimitedError(
        f'{replica.name} takes {denial.rate:g} requests a second'
        ' from all nodes; nothing was sent to it',
        remedy='send the request to another target, or later',
        retry_after=round(denial.retry_seconds, 3),
    )
