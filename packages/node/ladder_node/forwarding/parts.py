"""Optional parts of a forwarder."""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

from ladder_clients.replicas import CallerRequest
from ladder_node.forwarding.attempts import RequestAttempts
from ladder_node.room import Place, ServiceRooms
from ladder_node.stream_origins import StreamOrigins
from ladder_node.usage import UsageCounter


@dataclass(frozen=True, slots=True)
class ForwarderParts:
    """
    What a forwarder shares with other parts of the node.

    Attributes
    ----------
    origins : StreamOrigins or None
        Knows where streams began; without it no stream goes on.
    rooms : ServiceRooms or None
        Shares services that lack room between organisations; without it
        requests don't wait for room.
    usage : UsageCounter or None
        Counts the requests that began to run; without it none are counted.

    """

    origins: StreamOrigins | None = None
    rooms: ServiceRooms | None = None
    usage: UsageCounter | None = None

    @contextlib.asynccontextmanager
    async def enter(
        self, request: CallerRequest, attempts: RequestAttempts
    ) -> AsyncIterator[Place]:
        """
        Hold a place at the service of a request.

        Raises
        ------
        OverloadedError
            The service has no room for the request in time.

        """
        if self.rooms is None:
            yield Place(attempts.on_full)
            return
        async with self.rooms.enter(
            attempts.service,
            request.organisation,
            request.priority,
            attempts.deadline,
            request.request_id,
        ) as place:
            attempts.on_full = place.record_full
            yield place
