"""Exchange between nodes of what they served where room is short."""

import uuid
from collections.abc import Callable, Sequence

from ladder_core.supervision import TaskComponent
from ladder_core.timers import TimerService
from ladder_node.room.peers import RoomQuestion, RoomReply, RoomSender
from ladder_node.room.rooms import ServiceRooms

_INTERVAL_SECONDS = 1
# Nodes that are asked in one interval, in turn; the answers of all nodes are
# needed for fair shares, but not at once.
_ASKED_NODES = 4
_MAX_SERVICES = 16

_Served = dict[str, dict[str, int]]


class RoomSharing(TaskComponent):
    """
    Ask other nodes whom they serve while a service lacks room.

    Explanation
    -----------
    Without these answers an organisation would get a share at each node to
    which it sends. While no peer answers, the shares are those of this node
    alone. Nothing is sent while all services have room.

    Parameters
    ----------
    rooms : ServiceRooms
        Places of this node's requests.
    list_peers : callable
        Returns the addresses of the other nodes, the nearest first.
    sender : RoomSender
        Sends the questions.
    timers : TimerService
        Schedules the questions.

    """

    def __init__(
        self,
        rooms: ServiceRooms,
        list_peers: Callable[[], Sequence[str]],
        sender: RoomSender,
        timers: TimerService,
    ) -> None:
        super().__init__()
        self._rooms = rooms
        self._list_peers = list_peers
        self._sender = sender
        self._timers = timers
        self._incarnation = uuid.uuid4().hex
        self._known: dict[str, RoomReply] = {}
        self._next = 0

    def answer(self, question: RoomQuestion) -> RoomReply:
        """Answer the question of another node."""
        services = question.services[:_MAX_SERVICES]
        return RoomReply(self._incarnation, self._rooms.count_served(services))

    async def ask(self) -> None:
        """Ask the next peers about the services that lack room."""
        services = tuple(self._rooms.list_contended()[:_MAX_SERVICES])
        if not services:
            self._known.clear()
            return
        question = RoomQuestion(services)
        for address in self._choose_peers():
            reply = await self._sender.send(address, question)
            if reply is not None:
                self._apply(address, reply)

    async def _run(self) -> None:
        while True:
            await self._timers.sleep(_INTERVAL_SECONDS)
            await self.ask()

    def _choose_peers(self) -> list[str]:
        peers = self._list_peers()
        count = min(_ASKED_NODES, len(peers))
        chosen = [
            peers[(self._next + number) % len(peers)] for number in range(count)
        ]
        self._next += count
        return chosen

    def _apply(self, address: str, reply: RoomReply) -> None:
        """Use the difference to the previous answer of the same process."""
        before = self._known.get(address)
        self._known[address] = reply
        if before is None or before.incarnation != reply.incarnation:
            return
        for service, served in reply.served.items():
            earlier = before.served.get(service, {})
            self._rooms.handicap(
                service,
                {
                    party: max(count - earlier.get(party, 0), 0)
                    for party, count in served.items()
                },
            )
