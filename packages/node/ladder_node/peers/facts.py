"""Facts that nodes spread, and the table that merges them."""

from collections.abc import Iterable
from enum import StrEnum

import msgspec
import xxhash

from ladder_core.timeline import HybridTime
from ladder_core.timers import TimerService

_MAX_FACTS = 8192
_MIN_TTL_SECONDS = 1

FactId = tuple[str, str]


class FactKind(StrEnum):
    """Kinds of facts that parts of the node publish."""

    node = 'node'
    node_leaving = 'node-leaving'
    target_leaving = 'target-leaving'
    suspect = 'suspect'


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """
    Something that one node learnt and others should know.

    Attributes
    ----------
    kind : str
        What it is about; subscribers name it.
    key : str
        Names the subject; of two facts with one kind and key, the one with
        the later stamp holds.
    ttl_seconds : float
        Seconds after which the fact is forgotten.
    body : bytes
        Details, in an encoding of the kind's own.
    is_lasting : bool
        Whether the fact is sent at once and compared by digest. One that is
        not rides on heartbeats and is refreshed by its origin.
    is_fleet_wide : bool
        Whether the fact leaves its data centre.
    stamp : HybridTime
        Time of publication; set by `Gossip.publish`.
    origin : str
        Name of the publishing node; set by `Gossip.publish`.

    """

    kind: str
    key: str
    ttl_seconds: float
    body: bytes = b''
    is_lasting: bool = True
    is_fleet_wide: bool = True
    stamp: HybridTime = HybridTime()
    origin: str = ''

    @property
    def fact_id(self) -> FactId:
        """Kind and key."""
        return (self.kind, self.key)

    @property
    def precedence(self) -> tuple[HybridTime, str]:
        """Decides which of two facts of one position holds."""
        return (self.stamp, self.origin)


class FactHeader(msgspec.Struct, frozen=True, array_like=True):
    """
    That a node holds a fact, without the fact's body.

    Attributes
    ----------
    kind, key : str
        Position of the fact.
    stamp : HybridTime
        Its time of publication.
    origin : str
        Who published it.

    """

    kind: str
    key: str
    stamp: HybridTime
    origin: str


class FactTable:
    """
    Facts by position, the latest of each, until they expire.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    capacity : int, optional
        Number of facts kept; the soonest to expire makes room.

    """

    def __init__(
        self,
        timers: TimerService,
        capacity: int = _MAX_FACTS,
    ) -> None:
        self._timers = timers
        self._capacity = capacity
        self._facts: dict[FactId, Fact] = {}
        self._deadlines: dict[FactId, float] = {}

    def merge(self, fact: Fact) -> bool:
        """
        Take a fact over if it is news.

        Parameters
        ----------
        fact : Fact
            From this node or from a peer.

        Returns
        -------
        bool
            Whether it was news.

        """
        # One about to expire may be forgotten here already.
        if fact.ttl_seconds < _MIN_TTL_SECONDS:
            return False
        present = self._facts.get(fact.fact_id)
        if present is not None and present.precedence >= fact.precedence:
            return False
        if present is None and len(self._facts) >= self._capacity:
            self._remove(min(self._deadlines, key=self._deadlines.__getitem__))
        deadline = self._timers.now() + fact.ttl_seconds
        self._facts[fact.fact_id] = fact
        self._deadlines[fact.fact_id] = deadline
        return True

    def expire(self) -> None:
        """Forget the facts whose time is over."""
        now = self._timers.now()
        over = [spot for spot, due in self._deadlines.items() if due <= now]
        for fact_id in over:
            self._remove(fact_id)

    def list_kind(self, kind: str) -> list[Fact]:
        """Return the facts of one kind."""
        now = self._timers.now()
        return [
            fact
            for fact in self._facts.values()
            if fact.kind == kind and self._deadlines[fact.fact_id] > now
        ]

    def list_lasting(self) -> list[Fact]:
        """Return the lasting facts with the time that is left to them."""
        return [
            self.with_remaining_ttl(fact)
            for fact in self._facts.values()
            if fact.is_lasting
            and self._remaining_seconds(fact) >= _MIN_TTL_SECONDS
        ]

    def with_remaining_ttl(self, fact: Fact) -> Fact:
        """Return a fact with the time that is left to it here."""
        left = round(self._remaining_seconds(fact), 1)
        return msgspec.structs.replace(fact, ttl_seconds=left)

    def digest(self) -> int:
        """Return a number equal at nodes that hold the same lasting facts."""
        total = 0
        for fact in self.list_lasting():
            text = f'{fact.kind} {fact.key} {fact.stamp} {fact.origin}'
            total ^= xxhash.xxh3_64_intdigest(text.encode())
        return total

    def summarize(self) -> tuple[FactHeader, ...]:
        """Return what lasting facts are held here."""
        return tuple(
            FactHeader(fact.kind, fact.key, fact.stamp, fact.origin)
            for fact in self.list_lasting()
        )

    def list_missing(self, summary: Iterable[FactHeader]) -> list[Fact]:
        """
        Return the lasting facts that a peer lacks.

        Parameters
        ----------
        summary : iterable of FactHeader
            What the peer holds.

        Returns
        -------
        list of Fact
            Those that it does not hold, or holds older.

        """
        held_facts = {
            (held.kind, held.key): (held.stamp, held.origin) for held in summary
        }
        return [
            fact
            for fact in self.list_lasting()
            if fact.fact_id not in held_facts
            or held_facts[fact.fact_id] < fact.precedence
        ]

    def _remaining_seconds(self, fact: Fact) -> float:
        deadline = self._deadlines.get(fact.fact_id, 0)
        return deadline - self._timers.now()

    def _remove(self, fact_id: FactId) -> None:
        self._facts.pop(fact_id)
        self._deadlines.pop(fact_id)
