"""Bind streams that callers take up again to the software that began them."""

from ladder_clients.replicas import CallerRequest
from ladder_core.errors import (
    StreamOriginUnknownError,
    TargetUnavailableError,
)
from ladder_core.values import Route
from ladder_node.forwarding.attempts import (
    RETRY_AFTER_SECONDS,
    RequestAttempts,
)
from ladder_node.stream_origins import StreamOrigin, StreamOrigins


class StreamBinding:
    """
    Bind a stream to where it began, or tell where a new one begins.

    Parameters
    ----------
    origins : StreamOrigins or None
        Knows where streams began; without it no stream goes on.

    """

    def __init__(self, origins: StreamOrigins | None) -> None:
        self._origins = origins

    async def bind(
        self, route: Route, request: CallerRequest, attempts: RequestAttempts
    ) -> None:
        """
        Bind the attempts at a stream that is taken up again.

        Raises
        ------
        TargetUnavailableError
            The origin is not known, or the route has left its service. The
            request has not run and will not run.

        """
        if not request.last_event:
            return
        origin = None
        if self._origins is not None:
            origin = await self._origins.find(request.first_attempt)
        if origin is None:
            raise StreamOriginUnknownError(
                f'no node knows what began stream {request.first_attempt!r}',
                remedy='start the stream anew',
                retry_after=RETRY_AFTER_SECONDS,
            )
        if all(share.service != origin.service for share in route.shares):
            raise TargetUnavailableError(
                f'route {route.name} has left {origin.service}, which began'
                f' stream {request.first_attempt!r}',
                remedy='start the stream anew',
            )
        attempts.service = origin.service
        attempts.software_id = origin.software_id

    def end(self, request: CallerRequest) -> None:
        """Note that a caller has received the end of a stream."""
        if self._origins is not None:
            self._origins.end(request.first_attempt or request.request_id)

    def tell(self, request: CallerRequest, attempts: RequestAttempts) -> None:
        """Tell where a new stream begins, once a replica has answered."""
        replica = attempts.answered_by
        if request.last_event or replica is None or self._origins is None:
            return
        self._origins.tell(
            request.request_id,
            StreamOrigin(replica.service, replica.software_id),
        )
