"""Facts that nodes gossip, and the table that merges them."""

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
    """Kinds of facts that components of the node publish."""

    node = 'node'
    node_leaving = 'node-leaving'
    target_leaving = 'target-leaving'
    suspect = 'suspect'


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """
    A piece of information that one node publishes to the others.

    Attributes
    ----------
    kind : str
        Kind of the information, by which subscribers select facts.
    key : str
        Name of the subject. Of two facts with the same kind and key, the one
        with the later stamp replaces the other.
    ttl_seconds : float
        Time to live, after which a node removes the fact.
    body : bytes
        Details, in an encoding that depends on the kind.
    is_lasting : bool
        Whether the fact is sent at once and covered by the digest. Other
        facts are sent with the next heartbeat, and their origin publishes
        them again before they expire.
    is_fleet_wide : bool
        Whether the fact is forwarded to other data centres.
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
        """Kind and key, which identify the subject."""
        return (self.kind, self.key)

    @property
    def precedence(self) -> tuple[HybridTime, str]:
        """Sort key: of two facts with one id, the greater one is kept."""
        return (self.stamp, self.origin)


class FactHeader(msgspec.Struct, frozen=True, array_like=True):
    """
    A fact without its body, for comparing the tables of two nodes.

    Attributes
    ----------
    kind, key : str
        Id of the fact.
    stamp : HybridTime
        Time of publication.
    origin : str
        Name of the publishing node.

    """

    kind: str
    key: str
    stamp: HybridTime
    origin: str


class FactTable:
    """
    The latest fact of each id, until it expires.

    Parameters
    ----------
    timers : TimerService
        Clock for the expiry of facts.
    capacity : int, optional
        Largest number of facts. When it is reached, the fact that expires
        first is evicted for a new one.

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
        Store a fact if it is newer than the known one.

        Parameters
        ----------
        fact : Fact
            Fact of this node or of a peer.

        Returns
        -------
        bool
            Whether the fact was stored.

        """
        # This node may already have removed a fact that is about to expire, and
        # must not store it again.
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
        """Remove the facts whose time to live is over."""
        now = self._timers.now()
        expired = [
            fact_id
            for fact_id, deadline in self._deadlines.items()
            if deadline <= now
        ]
        for fact_id in expired:
            self._remove(fact_id)

    def list_kind(self, kind: str) -> list[Fact]:
        """Return the facts of one kind that have not expired."""
        now = self._timers.now()
        return [
            fact
            for fact in self._facts.values()
            if fact.kind == kind and self._deadlines[fact.fact_id] > now
        ]

    def list_lasting(self) -> list[Fact]:
        """Return the lasting facts, each with its remaining time to live."""
        return [
            self.with_remaining_ttl(fact)
            for fact in self._facts.values()
            if fact.is_lasting
            and self._remaining_seconds(fact) >= _MIN_TTL_SECONDS
        ]

    def with_remaining_ttl(self, fact: Fact) -> Fact:
        """Return a fact with the time to live that remains at this node."""
        remaining = round(self._remaining_seconds(fact), 1)
        return msgspec.structs.replace(fact, ttl_seconds=remaining)

    def digest(self) -> int:
        """Return a digest, equal at nodes that hold the same lasting facts."""
        total = 0
        for fact in self.list_lasting():
            text = f'{fact.kind} {fact.key} {fact.stamp} {fact.origin}'
            total ^= xxhash.xxh3_64_intdigest(text.encode())
        return total

    def summarize(self) -> tuple[FactHeader, ...]:
        """Return the headers of the lasting facts."""
        return tuple(
            FactHeader(fact.kind, fact.key, fact.stamp, fact.origin)
            for fact in self.list_lasting()
        )

    def list_missing(self, summary: Iterable[FactHeader]) -> list[Fact]:
        """
        Return the lasting facts that a peer is missing.

        Parameters
        ----------
        summary : iterable of FactHeader
            Headers of the facts that the peer holds.

        Returns
        -------
        list of Fact
            Facts that the peer does not hold, or holds in an older version.

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
