"""A connection to one peer, with heartbeats and batches of facts."""

from collections.abc import Callable

from ladder_core.timers import TimerService
from ladder_node.peers import messages
from ladder_node.peers.facts import Fact, FactId
from ladder_node.peers.metrics import BYTES, MESSAGES
from ladder_node.peers.transport import Channel

HEARTBEAT_INTERVAL_SECONDS = 1
SILENCE_TIMEOUT_SECONDS = 4
FLUSH_INTERVAL_SECONDS = 0.1

_FACTS_PER_MESSAGE = 500

PushMaker = Callable[[tuple[Fact, ...]], messages.Push]


class PeerLink:
    """
    Send heartbeats and batches of facts to one peer.

    Parameters
    ----------
    channel : Channel
        The connection, closed together with the link.
    timers : TimerService
        Clock for heartbeats and for silence.
    make_push : PushMaker
        Creates a heartbeat with the facts that are sent with it.

    """

    def __init__(
        self,
        channel: Channel,
        timers: TimerService,
        make_push: PushMaker,
    ) -> None:
        self._channel = channel
        self._timers = timers
        self._make_push = make_push
        self._outbox: dict[FactId, Fact] = {}
        self._is_urgent = True
        self._last_received_at = timers.now()
        self._last_sent_at = timers.now()
        # Both are unknown until the first message arrives.
        self.peer = ''
        self.data_centre = ''
        self.is_mismatched = False

    @property
    def is_silent(self) -> bool:
        """Whether no message has arrived within the silence time-out."""
        return (
            self._timers.now() - self._last_received_at
            > SILENCE_TIMEOUT_SECONDS
        )

    @property
    def is_known(self) -> bool:
        """Whether the peer has sent a message."""
        return bool(self.peer)

    def send(self, message: messages.Message) -> None:
        """Send a message at once, without batching."""
        frame = messages.encode(message)
        MESSAGES.labels('sent').inc()
        BYTES.labels('sent').inc(len(frame))
        self._channel.send(frame)

    async def receive(self) -> messages.Message | None:
        """
        Return the next message of the peer.

        Returns
        -------
        Message or None
            None after a silence: this process or the peer was paused, and
            the frame waited in the meantime. It may be long out of date, so
            it is dropped and the connection is replaced.

        """
        frame = await self._channel.receive()
        if self.is_silent:
            return None
        MESSAGES.labels('received').inc()
        BYTES.labels('received').inc(len(frame))
        self._last_received_at = self._timers.now()
        message = messages.decode(frame)
        self.peer = message.sender.name
        self.data_centre = message.sender.data_centre
        return message

    def enqueue(self, fact: Fact) -> None:
        """Queue a fact: a lasting one is sent soon, others with a heartbeat."""
        self._outbox[fact.fact_id] = fact
        self._is_urgent = self._is_urgent or fact.is_lasting

    def flush_soon(self) -> None:
        """Send the next heartbeat without waiting for its interval."""
        self._is_urgent = True

    async def run_sender(self) -> None:
        """Send heartbeats and queued facts until the peer falls silent."""
        while not self.is_silent:
            due = self._last_sent_at + HEARTBEAT_INTERVAL_SECONDS
            if self._is_urgent or self._timers.now() >= due:
                self._flush()
            await self._timers.sleep(FLUSH_INTERVAL_SECONDS)

    def close(self) -> None:
        """Release the connection."""
        self._channel.close()

    def _flush(self) -> None:
        batch = tuple(self._outbox.values())[:_FACTS_PER_MESSAGE]
        for fact in batch:
            self._outbox.pop(fact.fact_id)
        self._is_urgent = bool(self._outbox)
        self._last_sent_at = self._timers.now()
        self.send(self._make_push(batch))
