"""Places for requests at services, given to organisations in turn."""

import asyncio
import contextlib
from collections import Counter as Counts
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field

from prometheus_client import Counter, Gauge

from ladder_core.errors import OverloadedError
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_policy.shares import Claim, FairQueue

# Organisations that were served most are reported to other nodes; the others
# have hardly asked for anything.
_MAX_REPORTED = 32
_MAX_COUNTED = 1024

_refused_counter = Counter(
    'ladder_room_refused_total',
    'Requests that were refused since a service has no room for them in time',
    ('service', 'reason'),
)
_waiting_gauge = Gauge(
    'ladder_room_waiting',
    'Requests that wait for room at a service',
    ('service',),
)


@dataclass(slots=True, eq=False)
class Place:
    """
    The place of one request at a service.

    Attributes
    ----------
    record_full : callable
        Called when a replica refused the request because it is full.
    is_served : bool
        Set once a replica has answered the request.

    """

    record_full: Callable[[], None]
    is_served: bool = False


@dataclass(slots=True)
class _Room:
    queue: FairQueue = field(default_factory=FairQueue)
    served: Counts[str] = field(default_factory=Counts)
    waiters: dict[Claim, asyncio.Event] = field(default_factory=dict)


class ServiceRooms:
    """
    Give requests their places at services.

    Explanation
    -----------
    Requests pass without waiting until a replica of their service refuses one
    because it is full; see `FairQueue`. A request that can't be served in time
    is refused, and has not run.

    Parameters
    ----------
    is_active : callable
        Returns whether the configuration has organisations to share between.
    timers : TimerService
        Clock of the deadlines.
    timeline : Timeline
        Records each refusal with what decided it.

    """

    def __init__(
        self,
        is_active: Callable[[], bool],
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._is_active = is_active
        self._timers = timers
        self._timeline = timeline
        self._rooms: dict[str, _Room] = {}

    @contextlib.asynccontextmanager
    async def enter(
        self,
        service: str,
        party: str,
        priority: int,
        deadline: float,
        request_id: str = '',
    ) -> AsyncIterator[Place]:
        """
        Wait for a place at a service, and hold it.

        Parameters
        ----------
        service : str
            Name of the service.
        party : str
            Organisation of the request; requests without one share a turn.
        priority : int
            Priority of the request; zero is the highest.
        deadline : float
            Time in seconds at which the caller stops waiting.
        request_id : str, optional
            Identifies the request in the timeline.

        Raises
        ------
        OverloadedError
            The service has no room for the request in time. It has not run.

        """
        if not self._is_active():
            yield Place(_ignore)
            return
        room = self._rooms.setdefault(service, _Room())
        claim = Claim(party, priority, deadline)
        self._add(service, room, claim, request_id)
        place = Place(lambda: room.queue.record_full(self._timers.now()))
        try:
            await self._wait(service, room, claim, request_id)
            _count(room.served, party)
            yield place
        finally:
            self._leave(service, room, claim, place)

    def list_contended(self) -> list[str]:
        """Return the services at which requests of this node lack room."""
        now = self._timers.now()
        return [
            service
            for service, room in self._rooms.items()
            if room.queue.is_contended(now)
        ]

    def count_served(
        self, services: Iterable[str]
    ) -> dict[str, dict[str, int]]:
        """Return the started requests by service and organisation."""
        return {
            service: dict(
                self._rooms[service].served.most_common(_MAX_REPORTED)
            )
            for service in services
            if service in self._rooms
        }

    def handicap(self, service: str, served_elsewhere: dict[str, int]) -> None:
        """Take into account what other nodes have served meanwhile."""
        room = self._rooms.get(service)
        if room is not None:
            room.queue.handicap(served_elsewhere)

    def _add(
        self, service: str, room: _Room, claim: Claim, request_id: str
    ) -> None:
        refusal = room.queue.add(claim, self._timers.now())
        if refusal is not None:
            raise self._refuse(
                service,
                room,
                claim,
                request_id,
                refusal.reason,
                refusal.retry_seconds,
            )

    def _leave(
        self, service: str, room: _Room, claim: Claim, place: Place
    ) -> None:
        """Give back the place of a claim, and start those that waited."""
        room.waiters.pop(claim, None)
        room.queue.release(claim, self._timers.now(), place.is_served)
        for other in room.queue.start_waiting(self._timers.now()):
            room.waiters[other].set()
        _waiting_gauge.labels(service).set(room.queue.waiting)

    async def _wait(
        self, service: str, room: _Room, claim: Claim, request_id: str
    ) -> None:
        """Wait until a claim has started."""
        if claim.started_at is not None:
            return
        started = asyncio.Event()
        room.waiters[claim] = started
        _waiting_gauge.labels(service).set(room.queue.waiting)
        waiting = asyncio.ensure_future(started.wait())
        limit = asyncio.ensure_future(
            self._timers.sleep(
                claim.deadline - room.queue.mean_seconds - self._timers.now()
            )
        )
        try:
            await asyncio.wait(
                (waiting, limit), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            waiting.cancel()
            limit.cancel()
        if claim.started_at is None:
            raise self._refuse(service, room, claim, request_id, 'late', None)

    def _refuse(
        self,
        service: str,
        room: _Room,
        claim: Claim,
        request_id: str,
        reason: str,
        retry_seconds: float | None,
    ) -> OverloadedError:
        _refused_counter.labels(service, reason).inc()
        self._timeline.record(
            'room-refused',
            request_id,
            service=service,
            reason=reason,
            organisation=claim.party,
            waiting=room.queue.waiting,
            in_flight=room.queue.in_flight,
            left=round(claim.deadline - self._timers.now(), 3),
            retry=retry_seconds,
        )
        return OverloadedError(
            f'{service} has no room for the request in time',
            remedy='send the request again after the time given',
            retry_after=retry_seconds and round(retry_seconds, 3),
        )


def _ignore() -> None:
    """Ignore a refusal."""


def _count(served: Counts[str], party: str) -> None:
    """Count a request; the organisations served least are dropped first."""
    served[party] += 1
    if len(served) > _MAX_COUNTED:
        least = min(served, key=served.__getitem__)
        served.pop(least)
