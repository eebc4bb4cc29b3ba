"""Send one attempt at a request to a replica."""

import contextlib
from collections.abc import AsyncIterator

from ladder_clients.exchanges import StreamedResponse
from ladder_clients.replicas import CallerRequest, ReplicaClient
from ladder_core.errors import TargetUnavailableError
from ladder_core.timers import TimerService
from ladder_node.forwarding.attempts import RequestAttempts, track_request
from ladder_node.quarantine import RunGuard
from ladder_node.replicas import ReplicaRecord


class RunSender:
    """
    Send attempts, and keep track of the replicas that may run them.

    Parameters
    ----------
    client : ReplicaClient
        Sends requests to replicas.
    guard : RunGuard
        Watches each run.
    timers : TimerService
        Clock of the deadlines.

    """

    def __init__(
        self, client: ReplicaClient, guard: RunGuard, timers: TimerService
    ) -> None:
        self._client = client
        self._guard = guard
        self._timers = timers

    @contextlib.asynccontextmanager
    async def open(
        self,
        record: ReplicaRecord,
        request: CallerRequest,
        attempts: RequestAttempts,
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request to a replica and yield the open response."""
        replica = record.replica
        left = attempts.deadline - self._timers.now()
        may_have_run = record.name in attempts.sent_to
        with track_request(record, len(request.body)):
            attempts.sent_to.add(record.name)
            try:
                async with (
                    self._guard.watch(attempts.guarded, replica),
                    self._client.open(
                        replica,
                        request,
                        max(left, 0),
                        needs_new_connection=attempts.needs_new_connection,
                    ) as response,
                ):
                    attempts.answered_by = replica
                    yield response
            except TargetUnavailableError:
                if not may_have_run:
                    attempts.sent_to.discard(record.name)
                raise
