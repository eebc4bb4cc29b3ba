"""Permits of the processes for which this node issues them."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from prometheus_client import Counter

from ladder_core.timers import TimerService
from ladder_node.rate_limits.known import KnownLimits, ProcessKey
from ladder_policy.admission import PermitQueue

_MAX_PROCESSES = 1024

_applications_counter = Counter(
    'ladder_permit_applications_total',
    'Applications for a request to a limited replica that this node decided',
    ('outcome',),
)


class PermitOutcome(StrEnum):
    """Decision on an application for a permit."""

    granted = 'granted'
    denied = 'denied'
    unlimited = 'unlimited'
    misdirected = 'misdirected'


class PermitApplication(msgspec.Struct, frozen=True, array_like=True):
    """
    Application of a node for one request to a limited replica.

    Attributes
    ----------
    node : str
        Name of the applicant.
    process : tuple of (str, int)
        Name and start of the process of the replica.
    rate : float or None
        Requests a second that the process names, as the applicant knows it;
        None if the applicant has seen the limit end, and needs no permit.
    age_seconds : float
        Time since a response to the applicant has shown this.
    priority : int
        Priority of the request; the lowest number is the most urgent.

    """

    node: str
    process: ProcessKey
    rate: float | None
    age_seconds: float
    priority: int


class PermitReply(msgspec.Struct, frozen=True, array_like=True):
    """
    Reply to an application.

    Attributes
    ----------
    outcome : PermitOutcome
        The decision.
    free_seconds : float
        Time until an application of this priority may be granted.
    retry_seconds : float
        Time after which this request should be sent again.

    """

    outcome: PermitOutcome
    free_seconds: float = 0
    retry_seconds: float = 0


@dataclass(slots=True)
class _IssuedProcess:
    """The permits of one process, and when its rate was named."""

    queue: PermitQueue
    named_at: float


class PermitIssuer:
    """
    Issue the permits of some processes to all nodes.

    Parameters
    ----------
    known : KnownLimits
        Limits that this node knows, and which have ended.
    timers : TimerService
        Clock of the permits.

    """

    def __init__(self, known: KnownLimits, timers: TimerService) -> None:
        self._known = known
        self._timers = timers
        self._issued: OrderedDict[ProcessKey, _IssuedProcess] = OrderedDict()

    def decide(self, application: PermitApplication) -> PermitReply:
        """Decide on an application for a permit."""
        reply = self._decide(application)
        _applications_counter.labels(reply.outcome).inc()
        return reply

    def _decide(self, application: PermitApplication) -> PermitReply:
        now = self._timers.now()
        named_at = now - application.age_seconds
        ended_at = self._known.find_end(application.process)
        if application.rate is None:
            self._known.end(application.process)
            return PermitReply(PermitOutcome.unlimited)
        if ended_at is not None and ended_at > named_at:
            return PermitReply(PermitOutcome.unlimited)
        queue = self._find_queue(
            application.process, application.rate, named_at, now
        )
        decision = queue.apply(application.node, application.priority, now)
        if decision.is_granted:
            return PermitReply(PermitOutcome.granted)
        return PermitReply(
            PermitOutcome.denied,
            decision.free_seconds,
            decision.retry_seconds,
        )

    def _find_queue(
        self, process: ProcessKey, rate: float, named_at: float, now: float
    ) -> PermitQueue:
        """Return the permits of a process, at the rate that it named last."""
        issued = self._issued.pop(process, None)
        if issued is None:
            issued = _IssuedProcess(PermitQueue(rate, now), named_at)
        elif named_at > issued.named_at:
            issued.queue.set_rate(rate, now)
            issued.named_at = named_at
        self._issued[process] = issued
        if len(self._issued) > _MAX_PROCESSES:
            self._issued.popitem(last=False)
        return issued.queue
