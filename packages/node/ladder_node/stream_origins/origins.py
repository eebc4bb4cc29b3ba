"""
Origins of streams, known to the nodes that a caller may come back to.

Explanation
-----------
A caller whose stream broke takes it up again at any node. The node that began
the stream tells its origin to the homes of the stream: the live nodes that rank
first for the attempt by rendezvous hashing. A node that is asked to go on with
a stream asks the homes, so usually neither the store nor the first node is
needed. The origins of streams in progress are also written to the store, which
outlives all nodes. An origin that nobody knows is never guessed.

"""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import xxhash
from prometheus_client import Counter

from ladder_core.supervision import Component
from ladder_core.timers import TimerService
from ladder_node.members import Member
from ladder_node.stream_origins.journal import OriginJournal
from ladder_node.stream_origins.memory import OriginMemory, StreamOrigin
from ladder_node.stream_origins.peers import (
    OriginMessage,
    OriginReply,
    OriginSender,
)

# With two homes a stream outlives the loss of one, and of the node itself.
_HOMES = 2
# Notes beyond this number are not sent, so those streams can't go on elsewhere.
_MAX_NOTES_IN_FLIGHT = 256

_notes_counter = Counter(
    'ladder_stream_origin_notes_total',
    'Notes of the origins of streams to other nodes, by outcome',
    ('outcome',),
)
_questions_counter = Counter(
    'ladder_stream_origin_questions_total',
    'Streams taken up again, by where their origin was known',
    ('source',),
)


class StreamOrigins(Component):
    """
    Tell and find out where streams began.

    Parameters
    ----------
    node : str
        Name of this node.
    list_members : callable
        Returns the live nodes.
    sender : OriginSender
        Sends notes and questions to other nodes.
    journal : OriginJournal
        Keeps the origins of streams in progress in the store.
    timers : TimerService
        Clock by which origins are forgotten.

    """

    def __init__(
        self,
        node: str,
        list_members: Callable[[], Sequence[Member]],
        sender: OriginSender,
        journal: OriginJournal,
        timers: TimerService,
    ) -> None:
        self._node = node
        self._list_members = list_members
        self._sender = sender
        self._journal = journal
        self._memory = OriginMemory(timers)
        self._notes: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to write origins to the store."""
        await self._journal.start()

    async def close(self) -> None:
        """Cancel the notes that are being sent."""
        for note in tuple(self._notes):
            note.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await note
        await self._journal.close()

    def tell(self, attempt: str, origin: StreamOrigin) -> None:
        """Remember the origin of a new stream, and tell it to its homes."""
        self._memory.put(attempt, origin)
        self._journal.put(attempt, origin)
        for home in self._list_homes(attempt):
            if len(self._notes) >= _MAX_NOTES_IN_FLIGHT:
                _notes_counter.labels('dropped').inc()
                continue
            note = asyncio.ensure_future(
                self._tell(home, OriginMessage(attempt, origin))
            )
            self._notes.add(note)
            note.add_done_callback(self._notes.discard)

    def end(self, attempt: str) -> None:
        """Forget the origin of a stream that is whole, in the store."""
        self._journal.remove(attempt)

    async def find(self, attempt: str) -> StreamOrigin | None:
        """Return the origin of a stream; None if it can't be found out."""
        origin = self._memory.find(attempt)
        source = 'own' if origin else 'unknown'
        if origin is None and attempt:
            origin = await self._ask_homes(attempt)
            source = 'home' if origin else 'unknown'
        if origin is None and attempt:
            origin = await self._journal.find(attempt)
            source = 'store' if origin else 'unknown'
        _questions_counter.labels(source).inc()
        return origin

    def receive(self, message: OriginMessage) -> OriginReply:
        """Take a note, or answer a question of another node."""
        if message.origin is not None:
            self._memory.put(message.attempt, message.origin)
        return OriginReply(self._memory.find(message.attempt))

    async def _ask_homes(self, attempt: str) -> StreamOrigin | None:
        question = OriginMessage(attempt)
        replies = await asyncio.gather(
            *(
                self._sender.send(home.peer_address, question)
                for home in self._list_known_homes(attempt)
            )
        )
        known = (reply.origin for reply in replies if reply)
        return next((origin for origin in known if origin), None)

    async def _tell(self, home: Member, note: OriginMessage) -> None:
        reply = await self._sender.send(home.peer_address, note)
        _notes_counter.labels('received' if reply else 'lost').inc()

    def _list_homes(self, attempt: str) -> list[Member]:
        """Return the homes of a new stream without this node."""
        return self._rank_homes(
            attempt,
            [one for one in self._list_members() if not one.is_leaving],
        )

    def _list_known_homes(self, attempt: str) -> list[Member]:
        """Return the homes, with those from before the others left."""
        homes = {home.name: home for home in self._list_homes(attempt)}
        for home in self._rank_homes(attempt, self._list_members()):
            homes.setdefault(home.name, home)
        return list(homes.values())

    def _rank_homes(
        self, attempt: str, members: Sequence[Member]
    ) -> list[Member]:
        def rank(member: Member) -> int:
            weight = f'{attempt}\n{member.name}'.encode()
            return xxhash.xxh3_64_intdigest(weight)

        homes = sorted(members, key=rank, reverse=True)[:_HOMES]
        return [home for home in homes if home.name != self._node]
