"""Send calls to plain services and samples to scorers."""

import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

from ladder_clients.services import (
    PlainAnswer,
    PlainRequest,
    PlainServiceClient,
    ScorerClient,
)
from ladder_core.errors import (
    LadderError,
    TargetUnavailableError,
)
from ladder_core.values import HostKind
from ladder_node.dispatch.crashes import RequestGuard, UnguardedRequests
from ladder_node.dispatch.failures import ATTEMPT_ERRORS, AttemptFailures
from ladder_node.dispatch.intent import make_fingerprint
from ladder_node.dispatch.retries import RetryPolicy, UnlimitedRetries
from ladder_node.dispatch.suspect_registry import make_request_digest
from ladder_node.targets import Target, TargetTable

Result = TypeVar('Result')

_MAX_ATTEMPTS = 4
_RETRY_SECONDS = 1


@dataclass(frozen=True, slots=True)
class _TargetQuery:
    """Targets to try; a repeatable call may be sent to several."""

    kind: HostKind
    pool: str
    digest: str
    is_repeatable: bool


class ServiceDispatcher:
    """
    Choose replicas of plain services and of scorers.

    Parameters
    ----------
    targets : TargetTable
        What is known of the replicas.
    services : PlainServiceClient
        Makes calls.
    guard : RequestGuard, optional
        Finds calls that crash services; by default none is looked for.
    retries : RetryPolicy, optional
        Decides about further attempts; by default all are allowed.

    """

    def __init__(
        self,
        targets: TargetTable,
        services: PlainServiceClient,
        guard: RequestGuard | None = None,
        retries: RetryPolicy | None = None,
    ) -> None:
        self._targets = targets
        self._guard = guard or UnguardedRequests()
        self._retries = retries or UnlimitedRetries()
        self._services = services
        self._scorer = ScorerClient(services)

    async def call(self, pool: str, request: PlainRequest) -> PlainAnswer:
        """
        Make a call that runs at most once.

        Parameters
        ----------
        pool : str
            Pool of the service.
        request : PlainRequest
            What to call.

        Returns
        -------
        PlainAnswer
            The service's answer.

        Raises
        ------
        TargetUnavailableError
            No replica was reached; nothing was run.
        MayHaveRunError
            A replica was reached and did not answer.

        """

        async def send(target: Target) -> PlainAnswer:
            return await self._services.call(target.entry.address, request)

        return await self._try_targets(
            _TargetQuery(
                HostKind.service,
                pool,
                make_fingerprint(request),
                request.is_idempotent,
            ),
            send,
        )

    async def score(self, pool: str, prompt: str, text: str) -> float:
        """
        Score a sample, on another scorer when one fails.

        Parameters
        ----------
        pool : str
            Pool of the scorers; empty for all.
        prompt, text : str
            The sample.

        Returns
        -------
        float
            The score.

        Raises
        ------
        TargetUnavailableError
            No scorer is available.
        MayHaveRunError
            Scorers failed one after another.

        """

        async def send(target: Target) -> float:
            return await self._scorer.score(
                target.entry.address,
                uuid.uuid4().hex,
                prompt,
                text,
            )

        return await self._try_targets(
            _TargetQuery(
                HostKind.scorer,
                pool,
                make_request_digest(prompt, text),
                is_repeatable=True,
            ),
            send,
        )

    async def _try_targets(
        self,
        query: _TargetQuery,
        send: Callable[[Target], Awaitable[Result]],
    ) -> Result:
        failures = AttemptFailures(
            _MAX_ATTEMPTS,
            is_repeatable=query.is_repeatable,
        )
        self._retries.note_request()
        while await self._may_attempt(failures):
            try:
                return await self._try_target(query, send)
            except ATTEMPT_ERRORS as error:
                failures.add(error)
        raise failures.error

    async def _may_attempt(self, failures: AttemptFailures) -> bool:
        if not failures.has_failed:
            return True
        return not failures.is_final and await self._retries.take_retry()

    async def _try_target(
        self,
        query: _TargetQuery,
        send: Callable[[Target], Awaitable[Result]],
    ) -> Result:
        await self._targets.ensure_fresh()
        async with self._guard.assign(
            query.digest,
            partial(self._choose, query),
            partial(self._list_usable, query),
        ) as target:
            return await self._send(target, send)

    async def _send(
        self,
        target: Target,
        send: Callable[[Target], Awaitable[Result]],
    ) -> Result:
        try:
            with self._targets.track_request(target):
                return await send(target)
        except ATTEMPT_ERRORS as error:
            self._note_failure(target, error)
            raise

    def _list_usable(self, query: _TargetQuery) -> list[Target]:
        return self._targets.list_available(query.kind, query.pool)

    def _choose(self, query: _TargetQuery) -> Target:
        usable = self._list_usable(query)
        if not usable:
            raise TargetUnavailableError(
                f'no {query.kind} of pool {query.pool or "any"} is available',
                remedy='come back later',
                retry_after=_RETRY_SECONDS,
            )
        return min(usable, key=_read_load)

    def _note_failure(self, target: Target, error: LadderError) -> None:
        self._targets.suspend(target.entry.name, error.kind)


def _read_load(target: Target) -> tuple[int, str]:
    return (target.in_flight, target.entry.name)
