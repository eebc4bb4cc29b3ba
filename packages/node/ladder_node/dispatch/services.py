"""Dispatch calls to services and samples to scorers."""

import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

from ladder_clients.services import (
    ScorerClient,
    ServiceClient,
    ServiceRequest,
    ServiceResponse,
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
_RETRY_AFTER_SECONDS = 1


@dataclass(frozen=True, slots=True)
class _TargetQuery:
    """
    Criteria for targets.

    A repeatable call may be sent to several; one that is owed is work of a
    training step, and never refused as a cause of crashes.
    """

    kind: HostKind
    pool: str
    digest: str
    is_repeatable: bool
    is_owed: bool = False


class ServiceDispatcher:
    """
    Dispatch calls to replicas of services and of scorers.

    Parameters
    ----------
    targets : TargetTable
        States of the replicas, and the requests in flight at each.
    services : ServiceClient
        Client that makes calls to a replica.
    guard : RequestGuard, optional
        Isolates callers' calls that crash services; by default none are.
    retries : RetryPolicy, optional
        Decides whether a failed attempt is retried; by default always.

    """

    def __init__(
        self,
        targets: TargetTable,
        services: ServiceClient,
        guard: RequestGuard | None = None,
        retries: RetryPolicy | None = None,
    ) -> None:
        self._targets = targets
        self._unguarded = UnguardedRequests()
        self._guard = guard or self._unguarded
        self._retries = retries or UnlimitedRetries()
        self._services = services
        self._scorer = ScorerClient(services)

    async def call(self, pool: str, request: ServiceRequest) -> ServiceResponse:
        """
        Make a call to a service.

        Explanation
        -----------
        The call runs at most once unless its method is idempotent.

        Parameters
        ----------
        pool : str
            Pool whose replicas may be called.
        request : ServiceRequest
            The call, sent to the replica as it is.

        Returns
        -------
        ServiceResponse
            Answer of the replica.

        Raises
        ------
        TargetUnavailableError
            No replica was reached; the call was not run.
        MayHaveRunError
            A replica was reached but did not answer; the call may have run.

        """

        async def send(target: Target) -> ServiceResponse:
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
        Score a sample, with failover to other scorers.

        Parameters
        ----------
        pool : str
            Pool whose scorers may be used; empty for all pools.
        prompt, text : str
            Prompt and generated text of the sample.

        Returns
        -------
        float
            Score that the scorer returned.

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
                is_owed=True,
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
        self._retries.record_request()
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
        guard = self._unguarded if query.is_owed else self._guard
        async with guard.assign(
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
            self._record_failure(target, error)
            raise

    def _list_usable(self, query: _TargetQuery) -> list[Target]:
        return self._targets.list_available(query.kind, query.pool)

    def _choose(self, query: _TargetQuery) -> Target:
        usable = self._list_usable(query)
        if not usable:
            raise TargetUnavailableError(
                f'no {query.kind} of pool {query.pool or "any"} is available',
                remedy='come back later',
                retry_after=_RETRY_AFTER_SECONDS,
            )
        return min(usable, key=_read_load)

    def _record_failure(self, target: Target, error: LadderError) -> None:
        self._targets.suspend(target.entry.name, error.kind)


def _read_load(target: Target) -> tuple[int, str]:
    return (target.in_flight, target.entry.name)
