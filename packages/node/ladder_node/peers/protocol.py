"""Answer the messages of peers."""

from collections.abc import Callable

from ladder_core.timeline import HybridClock
from ladder_core.timers import TimerService
from ladder_node.peers.facts import Fact, FactTable
from ladder_node.peers.link import PeerLink
from ladder_node.peers.members import Member
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
    What this node tells its peers and learns from them.

    Explanation
    -----------
    Heartbeats carry the digest of the lasting facts. Two heartbeats in a row
    with another digest than ours mean that a fact was lost or that one side
    is new: the summaries are then compared and only what is lacking is sent,
    which for a newcomer is everything.

    Parameters
    ----------
    local_member : Member
        This node.
    facts : FactTable
        Facts known here.
    source : ListsSource
        The configuration.
    clock : HybridClock
        Stamps messages and observes those of peers.
    timers : TimerService
        Source of time.
    forward : ForwardFact
        Called with each fact that is news and the link it came over.

    """

    def __init__(
        self,
        local_member: Member,
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
        """Number of summaries of this node that peers answered."""
        return self._answered_summaries

    def make_push(
        self,
        facts: tuple[Fact, ...],
        *,
        is_answer: bool = False,
    ) -> Push:
        """Return a heartbeat that carries facts."""
        lists = self._source.known_lists
        # A node cut off from the store and from all peers confirms nothing.
        is_confirmed = lists is not None and self._source.is_fresh
        return Push(
            self._make_sender(),
            lists.revision if lists and is_confirmed else 0,
            self._facts.digest(),
            facts,
            is_answer,
        )

    def make_summary(self, *, is_answer: bool = False) -> Summary:
        """Return what this node holds."""
        held = self._facts.summarize()
        return Summary(self._make_sender(), held, is_answer)

    def handle(self, link: PeerLink, message: Message) -> None:
        """Take a message in and answer it."""
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
        """Have one peer asked for a revision, so that one copy is sent."""
        now = self._timers.now()
        if revision <= self._requested_revision and now < self._next_request_at:
            return False
        self._requested_revision = revision
        self._next_request_at = now + _REQUEST_RETRY_SECONDS
        return True

    def _handle_summary(self, link: PeerLink, summary: Summary) -> None:
        missing = tuple(self._facts.list_missing(summary.held))
        link.send(self.make_push(missing, is_answer=not summary.is_answer))
        held = {(one.kind, one.key): one for one in self._facts.summarize()}
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
