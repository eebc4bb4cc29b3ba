"""Send one attempt at a request to a replica."""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace

from ladder_clients.exchanges import StreamedResponse
from ladder_clients.replicas import CallerRequest, ReplicaClient
from ladder_core.errors import TargetUnavailableError
from ladder_core.timers import TimerService
from ladder_node.forwarding.attempts import RequestAttempts, track_request
from ladder_node.quarantine import RunGuard
from ladder_node.replicas import ReplicaRecord
from ladder_node.usage import UsageCounter


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
    usage : UsageCounter or None
        Counts the requests that began to run; None if none are counted.

    """

    def __init__(
        self,
        client: ReplicaClient,
        guard: RunGuard,
        timers: TimerService,
        usage: UsageCounter | None = None,
    ) -> None:
        self._usage = usage
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
        if attempts.tried:
            # The gateway may be why the first attempt failed.
            request = replace(request, uses_gateway=False)
        with track_request(record, len(request.body)):
            attempts.sent_to.add(record.name)
            is_counted = self._count(request, attempts)
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
                if is_counted:
                    self._cancel_count(attempts)
                raise

    def _count(self, request: CallerRequest, attempts: RequestAttempts) -> bool:
        """Count the first run of a request; return whether this is it."""
        if self._usage is None or attempts.usage_mark is not None:
            return False
        attempts.usage_mark = self._usage.begin(
            request.organisation, request.request_id
        )
        return attempts.usage_mark is not None

    def _cancel_count(self, attempts: RequestAttempts) -> None:
        """Take back the count of a run that did not begin."""
        if self._usage is not None and attempts.usage_mark is not None:
            self._usage.cancel(attempts.usage_mark)
        attempts.usage_mark = None
