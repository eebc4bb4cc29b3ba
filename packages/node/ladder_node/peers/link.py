"""The connection to one peer."""

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
    Sends heartbeats and batched facts to one peer.

    Parameters
    ----------
    channel : Channel
        The connection; owned by the link.
    timers : TimerService
        Source of time.
    make_push : PushMaker
        Makes a heartbeat around the facts that are sent with it.

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
        # Names are known from the first message on.
        self.peer = ''
        self.data_centre = ''
        self.is_mismatched = False

    @property
    def is_silent(self) -> bool:
        """Whether heartbeats stayed away for too long."""
        return (
            self._timers.now() - self._last_received_at
            > SILENCE_TIMEOUT_SECONDS
        )

    @property
    def is_known(self) -> bool:
        """Whether the peer was heard."""
        return bool(self.peer)

    def send(self, message: messages.Message) -> None:
        """Send a message at once."""
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
            None after a silence: either this process was paused and the
            frame waited meanwhile, or the peer was. Both may be long out of
            date, so a new connection is made.

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
        """Have a fact sent: a lasting one soon, others with a heartbeat."""
        self._outbox[fact.fact_id] = fact
        self._is_urgent = self._is_urgent or fact.is_lasting

    def flush_soon(self) -> None:
        """Have the next heartbeat sent soon."""
        self._is_urgent = True

    async def run_sender(self) -> None:
        """Send what is due until the peer falls silent."""
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
