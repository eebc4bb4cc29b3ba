"""
Ask near nodes for the durations of replicas.

Explanation
-----------
A node sends about one request a second or less to a plain service, so it
notices late that a replica has turned slow. It asks another node of its data
centre, whose way to the replicas has the same length, for what that node has
measured itself. Nothing is passed on, and nothing goes through the store.

"""

import math
import random
from collections.abc import Callable, Sequence

from prometheus_client import Counter

from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.capacity_sharing.messages import (
    MAX_ESTIMATES,
    MAX_REPLICAS,
    CapacityQuestion,
    CapacityReply,
    CapacitySender,
    SharedEstimate,
)
from ladder_node.members import Member
from ladder_node.replicas import ReplicaRecord, ReplicaRegistry

_INTERVAL_SECONDS = 3
# A node that doesn't reply may be of a build without these questions.
_SILENT_PAUSE_SECONDS = 60
_DIGITS = 4

_questions_counter = Counter(
    'ladder_capacity_questions_total',
    'Questions to other nodes for the durations of replicas',
    ('outcome',),
)


class CapacitySharing(Component):
    """
    Ask other nodes, and answer their questions.

    Parameters
    ----------
    own : callable
        Returns the description of this node.
    list_members : callable
        Returns the live nodes.
    registry : ReplicaRegistry
        Replicas with what this node has learned of them.
    sender : CapacitySender
        Sends the questions.
    timers : TimerService
        Clock, and schedule of the questions.

    """

    def __init__(
        self,
        own: Callable[[], Member],
        list_members: Callable[[], Sequence[Member]],
        registry: ReplicaRegistry,
        sender: CapacitySender,
        timers: TimerService,
    ) -> None:
        self._own = own
        self._list_members = list_members
        self._registry = registry
        self._sender = sender
        self._timers = timers
        self._silent_until: dict[str, float] = {}
        self._random = random.Random()  # noqa: S311 no secret is drawn
        self._periodic_call: PeriodicCall | None = None

    async def start(self) -> None:
        """Start to ask."""
        self._periodic_call = self._timers.call_periodically(
            _INTERVAL_SECONDS, self.ask
        )

    async def close(self) -> None:
        """Stop asking."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    async def ask(self) -> None:
        """Ask one node for replicas that this one has few samples of."""
        now = self._timers.now()
        self._log_changes()
        records = [
            record
            for record in self._registry.list_all()
            if record.capacity and record.capacity.needs_samples(now)
        ]
        if len(records) > MAX_REPLICAS:
            records = self._random.sample(records, MAX_REPLICAS)
        peer = self._choose_peer(now) if records else None
        if peer is None:
            return
        question = CapacityQuestion(tuple(record.name for record in records))
        reply = await self._sender.send(peer.peer_address, question)
        if reply is None:
            _questions_counter.labels('silent').inc()
            self._silent_until[peer.name] = now + _SILENT_PAUSE_SECONDS
            return
        _questions_counter.labels('answered').inc()
        _take(records, reply, now)

    def answer(self, question: CapacityQuestion) -> CapacityReply:
        """Return what this node has measured itself and lately."""
        now = self._timers.now()
        estimates: list[SharedEstimate] = []
        for place, name in enumerate(question.replicas[:MAX_REPLICAS]):
            record = self._registry.find(name)
            if record is None or record.capacity is None:
                continue
            estimates.extend(
                SharedEstimate(
                    place, kind, round(seconds, _DIGITS), round(age, 1)
                )
                for kind, seconds, age in record.capacity.list_recent(now)
                if seconds >= math.pow(10, -_DIGITS)
            )
        return CapacityReply(tuple(estimates[:MAX_ESTIMATES]))

    def _log_changes(self) -> None:
        for record in self._registry.list_all():
            if record.capacity is None:
                continue
            for kind, server in record.capacity.kinds.items():
                view = server.describe(record.replica.slots)
                self._registry.capacity_log.check(record.name, kind, view)

    def _choose_peer(self, now: float) -> Member | None:
        own = self._own()
        members = {
            member.name: member
            for member in self._list_members()
            if member.name != own.name
            and member.data_centre == own.data_centre
            and member.peer_address
        }
        self._silent_until = {
            name: until
            for name, until in self._silent_until.items()
            if name in members and now < until
        }
        asked = [
            member
            for name, member in members.items()
            if name not in self._silent_until
        ]
        return self._random.choice(asked) if asked else None


def _take(
    records: Sequence[ReplicaRecord], reply: CapacityReply, now: float
) -> None:
    for estimate in reply.estimates[:MAX_ESTIMATES]:
        if estimate.replica >= len(records):
            continue
        capacity = records[estimate.replica].capacity
        if capacity is not None:
            capacity.receive(
                estimate.kind, estimate.seconds, now - estimate.age
            )
