"""Find requests that crash targets, and bound the targets lost to them."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from prometheus_client import Counter

from ladder_clients.probes import TargetProbe
from ladder_core.errors import (
    OverloadedError,
    PoisonousRequestError,
    TargetLostError,
)
from ladder_core.timeline import Timeline
from ladder_core.timers import TimerService
from ladder_node.dispatch.suspect_registry import (
    SuspectRegistry,
    SuspicionState,
)
from ladder_node.targets import Target

# Largest number of suspects of one node that run isolated at the same time.
_MAX_ISOLATED = 2
_MAX_ISOLATION_WAIT_SECONDS = 20
_POLL_INTERVAL_SECONDS = 0.1
_RETRY_AFTER_SECONDS = 5

_CRASHES = Counter(
    'ladder_target_crashes',
    'Crashes of targets during a request of this node, by what became of it',
    ['verdict'],
)
_REFUSED = Counter(
    'ladder_poisonous_requests',
    'Requests that were refused because they crash targets',
)

ChooseTarget = Callable[[], Target]
ListTargets = Callable[[], Sequence[Target]]


class RequestGuard(ABC):
    """Assigns targets to requests so that crashes stay limited."""

    @abstractmethod
    def assign(
        self,
        digest: str,
        choose: ChooseTarget,
        list_usable: ListTargets,
    ) -> AbstractAsyncContextManager[Target]:
        """
        Assign a target to a request and watch whether the target crashes.

        Parameters
        ----------
        digest : str
            Digest that identifies the request.
        choose : ChooseTarget
            Returns the target for a request that is not suspected.
        list_usable : ListTargets
            Returns the targets that could run the request.

        Returns
        -------
        context manager of Target
            Yields the assigned target; its body runs the request.

        Raises
        ------
        PoisonousRequestError
            The request has crashed targets and is refused.

        """


class UnguardedRequests(RequestGuard):
    """Runs every request on its chosen target, without crash isolation."""

    @asynccontextmanager
    async def assign(
        self,
        digest: str,
        choose: ChooseTarget,
        list_usable: ListTargets,
    ) -> AsyncIterator[Target]:
        """Assign the chosen target."""
        yield choose()


class CrashGuard(RequestGuard):
    """
    Run suspected requests isolated and refuse those that crash again.

    Explanation
    -----------
    A request that was in flight when its target crashed is a suspect. It runs
    again only on a reserved target, to which this node sends no other request
    meanwhile, so that a second crash is caused by the suspect itself. A request
    that was in flight by coincidence finishes there and is cleared. Few
    suspects run at a time, because each occupies a target alone.

    Parameters
    ----------
    registry : SuspectRegistry
        Suspicion states of requests, shared by the nodes.
    probe : TargetProbe
        Distinguishes a crashed target from a broken connection.
    timers : TimerService
        Clock for the wait for an idle target.
    timeline : Timeline
        Records requests that become suspect, refused or cleared.

    """

    def __init__(
        self,
        registry: SuspectRegistry,
        probe: TargetProbe,
        timers: TimerService,
        timeline: Timeline,
    ) -> None:
        self._registry = registry
        self._probe = probe
        self._timers = timers
        self._timeline = timeline
        self._isolated_count = 0

    @asynccontextmanager
    async def assign(
        self,
        digest: str,
        choose: ChooseTarget,
        list_usable: ListTargets,
    ) -> AsyncIterator[Target]:
        """Assign a reserved target to a suspect, the chosen one to others."""
        state = self._registry.read(digest)
        if state is SuspicionState.refused:
            raise _make_refusal()
        if state is SuspicionState.clear:
            target = choose()
            async with self._watch_for_crash(
                digest, target, SuspicionState.suspect
            ):
                yield target
            return
        async with self._reserve(list_usable) as target:
            async with self._watch_for_crash(
                digest, target, SuspicionState.refused
            ):
                yield target
        self._registry.write(digest, SuspicionState.clear)
        self._timeline.record('request-cleared', digest)

    @asynccontextmanager
    async def _watch_for_crash(
        self,
        digest: str,
        target: Target,
        new_state: SuspicionState,
    ) -> AsyncIterator[None]:
        """Change the state of a request if its target crashes."""
        try:
            yield
        except TargetLostError as error:
            if await self._probe.is_gone(target.entry.address):
                self._record_crash(digest, target, new_state, error)
            raise

    def _record_crash(
        self,
        digest: str,
        target: Target,
        new_state: SuspicionState,
        error: TargetLostError,
    ) -> None:
        _CRASHES.labels(new_state).inc()
        # Another node may have refused the request meanwhile.
        is_refused = self._registry.read(digest) is SuspicionState.refused
        self._registry.write(digest, new_state)
        self._timeline.record(
            f'request-{new_state}',
            digest,
            target=target.entry.name,
        )
        if is_refused or new_state is SuspicionState.refused:
            raise _make_refusal() from error

    @asynccontextmanager
    async def _reserve(self, list_usable: ListTargets) -> AsyncIterator[Target]:
        """Reserve an idle target for one suspect."""
        target = await self._wait_for_idle_target(list_usable)
        target.is_reserved = True
        self._isolated_count += 1
        try:
            yield target
        finally:
            target.is_reserved = False
            self._isolated_count -= 1

    async def _wait_for_idle_target(self, list_usable: ListTargets) -> Target:
        deadline = self._timers.now() + _MAX_ISOLATION_WAIT_SECONDS
        while self._timers.now() < deadline:
            targets = list_usable()
            # At least half of the targets stay free of suspects.
            limit = max(1, min(_MAX_ISOLATED, len(targets) // 2))
            idle = [target for target in targets if not target.in_flight]
            if idle and self._isolated_count < limit:
                return min(idle, key=_read_load)
            await self._timers.sleep(_POLL_INTERVAL_SECONDS)
        raise OverloadedError(
            'no target is free to run a suspect apart',
            remedy='send the request again later',
            retry_after=_RETRY_AFTER_SECONDS,
        )


def _read_load(target: Target) -> tuple[int, str]:
    state = target.state
    load = 0 if state is None else state.running + state.queued
    return (load, target.entry.name)


def _make_refusal() -> PoisonousRequestError:
    _REFUSED.inc()
    return PoisonousRequestError(
        'the request ran and crashed the targets that executed it',
        remedy='change the request; the same one is not run again for a day',
    )
