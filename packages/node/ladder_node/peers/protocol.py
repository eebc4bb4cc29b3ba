"""Handling of the messages of peers: heartbeats, summaries and lists."""

from collections.abc import Callable

from ladder_core.timeline import HybridClock
from ladder_core.timers import TimerService
from ladder_node.peers.facts import Fact, FactTable
from ladder_node.peers.link import PeerLink
from ladder_node.peers.members import PeerMember
from ladder_node.peers.messages import (
    ListsRequest,
    ListsResponse,
    Message,
    Push,
    Sender,
    Summary,
)
from ladder_node.peers.source import ListsSource

_REQUEST_RETRY_SECONDS = 0.5

ForwardFact = Callable[[Fact, PeerLink], None]


class GossipProtocol:
    """
    Create the messages of this node and handle those of its peers.

    Explanation
    -----------
    Each heartbeat carries a digest of the lasting facts of its sender. If two
    consecutive heartbeats of a peer have a digest that differs from the local
    one, a fact was lost or one of the nodes has just joined. The nodes then
    compare summaries (anti-entropy), and send only the missing facts. A node
    that has just joined gets all of them.

    Parameters
    ----------
    local_member : PeerMember
        The local node, named as the sender of messages.
    facts : FactTable
        Facts known at this node.
    source : ListsSource
        Holds the configuration in force and accepts newer ones.
    clock : HybridClock
        Stamps outgoing messages and observes the stamps of peers.
    timers : TimerService
        Clock for the interval between requests for the lists.
    forward : ForwardFact
        Called with each fact that is new here, and the link it came over.

    """

    def __init__(
        self,
        local_member: PeerMember,
        facts: FactTable,
        source: ListsSource,
        clock: HybridClock,
        timers: TimerService,
        forward: ForwardFact,
    ) -> None:
        self._local_member = local_member
        self._facts = facts
        self._source = source
        self._clock = clock
        self._forward = forward
        self._timers = timers
        self._answered_summaries = 0
        self._requested_revision = 0
        self._next_request_at = timers.now()

    @property
    def answered_summaries(self) -> int:
        """Number of summaries of this node that peers have answered."""
        return self._answered_summaries

    def make_push(
        self,
        facts: tuple[Fact, ...],
        *,
        is_answer: bool = False,
    ) -> Push:
        """Return a heartbeat with facts to send."""
        lists = self._source.known_lists
        # A node without contact to the store and to any peer must not confirm
        # its revision, so it sends zero.
        is_confirmed = lists is not None and self._source.is_fresh
        return Push(
            self._make_sender(),
            lists.revision if lists and is_confirmed else 0,
            self._facts.digest(),
            facts,
            is_answer,
        )

    def make_summary(self, *, is_answer: bool = False) -> Summary:
        """Return a summary of the lasting facts of this node."""
        held = self._facts.summarize()
        return Summary(self._make_sender(), held, is_answer)

    def handle(self, link: PeerLink, message: Message) -> None:
        """Process a message and answer it if required."""
        self._clock.observe(message.sender.stamp)
        match message:
            case Push():
                self._handle_push(link, message)
            case Summary():
                self._handle_summary(link, message)
            case ListsRequest():
                self._send_lists(link)
            case ListsResponse():
                self._source.offer(message.lists)
                self._source.confirm(link.peer, message.lists.revision)

    def _handle_push(self, link: PeerLink, push: Push) -> None:
        for fact in push.facts:
            if self._facts.merge(fact):
                self._forward(fact, link)
        self._answered_summaries += int(push.is_answer)
        is_mismatched = push.digest != self._facts.digest()
        if is_mismatched and link.is_mismatched and not push.is_answer:
            link.send(self.make_summary())
            is_mismatched = False
        link.is_mismatched = is_mismatched
        self._compare_revision(link, push.revision)

    def _compare_revision(self, link: PeerLink, revision: int) -> None:
        if not revision:
            return
        lists = self._source.known_lists
        if lists is not None and lists.revision >= revision:
            self._source.confirm(link.peer, revision)
        elif self._is_request_due(revision):
            link.send(ListsRequest(self._make_sender()))

    def _is_request_due(self, revision: int) -> bool:
        """
        Return whether to request a revision now.

        Explanation
        -----------
        Only one peer at a time is asked for a revision that several peers
        announce, so that a single copy is sent.

        """
        now = self._timers.now()
        if revision <= self._requested_revision and now < self._next_request_at:
            return False
        self._requested_revision = revision
        self._next_request_at = now + _REQUEST_RETRY_SECONDS
        return True

    def _handle_summary(self, link: PeerLink, summary: Summary) -> None:
        missing = tuple(self._facts.list_missing(summary.held))
        link.send(self.make_push(missing, is_answer=not summary.is_answer))
        held = {
            (header.kind, header.key): header
            for header in self._facts.summarize()
        }
        is_behind = any(
            (theirs.kind, theirs.key) not in held
            or held[theirs.kind, theirs.key].stamp < theirs.stamp
            for theirs in summary.held
        )
        if is_behind and not summary.is_answer:
            link.send(self.make_summary(is_answer=True))

    def _send_lists(self, link: PeerLink) -> None:
        lists = self._source.known_lists
        if lists is not None:
            link.send(ListsResponse(self._make_sender(), lists))

    def _make_sender(self) -> Sender:
        return Sender(
            self._local_member.name,
            self._local_member.data_centre,
            self._clock.tick(),
        )
